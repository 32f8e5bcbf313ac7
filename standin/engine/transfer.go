package engine

import (
	"encoding/binary"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"dandelionrail.org/rail/standin"
)

const prefixBytes = 8

type transferBody struct {
	Prefix string `json:"prefix"`
	Tokens int    `json:"tokens"`
	Blob   []byte `json:"blob"`
}

// postExport returns a cached prefix; the blob holds the hashes of its blocks.
func (s *Server) postExport(c echo.Context) error {
	var b transferBody
	if err := standin.Decode(c, &b); err != nil {
		return err
	}
	prefix, err := strconv.ParseUint(b.Prefix, 16, 64)
	if err != nil {
		return c.JSON(http.StatusBadRequest, problem{Reason: "prefix is not a hexadecimal number"})
	}
	s.batch.mu.Lock()
	ps, ok := s.batch.cache.prefixChain(prefix)
	s.batch.mu.Unlock()
	if !ok {
		return c.JSON(http.StatusNotFound, problem{Reason: "prefix is not cached"})
	}
	var blob []byte
	for _, p := range ps {
		blob = binary.BigEndian.AppendUint64(blob, p)
	}
	return c.JSON(http.StatusOK, transferBody{Prefix: formatPrefix(prefix), Tokens: len(ps) * standin.BlockTokens, Blob: blob})
}

func (s *Server) postImport(c echo.Context) error {
	var b transferBody
	if err := standin.Decode(c, &b); err != nil {
		return err
	}
	if len(b.Blob) == 0 || len(b.Blob)%prefixBytes != 0 {
		return c.JSON(http.StatusBadRequest, problem{Reason: "blob is not an export"})
	}
	var ps []uint64
	for rest := b.Blob; len(rest) > 0; rest = rest[prefixBytes:] {
		ps = append(ps, binary.BigEndian.Uint64(rest))
	}
	s.batch.mu.Lock()
	s.batch.cache.add(ps, time.Now())
	s.batch.mu.Unlock()
	return c.NoContent(http.StatusNoContent)
}
