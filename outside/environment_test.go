package outside_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/outside"
	standin "dandelionrail.org/rail/standin/platform"
)

// Trial and production may share one platform; a verdict or a lease of one environment must not be applied in the other.
func TestEnvironmentsShareALog(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(standin.New(standin.Settings{}))
	defer server.Close()
	client := outside.New(server.URL, http.DefaultClient)
	trial, production := outside.NewEnvironmentLog(client, "trial"), outside.NewEnvironmentLog(client, "production")
	_, err := trial.Append(t.Context(), rail.RecordVerdict, []byte(`{}`))
	is.NoErr(err)
	_, err = production.Append(t.Context(), rail.RecordLease, []byte(`{}`))
	is.NoErr(err)
	read, err := production.Read(t.Context(), 0, 0)
	is.NoErr(err)
	is.Equal(len(read.Records()), 2)
	is.Equal(read.Next(), rail.Offset(2))
	is.True(read.Records()[0].Kind() != rail.RecordVerdict)
	is.Equal(read.Records()[1].Kind(), rail.RecordLease)
}

func TestEntriesOfAnotherEnvironmentAreNoPeers(t *testing.T) {
	is := is.New(t)
	entry := func(id rail.InstanceID, environment string) rail.Instance {
		return rail.NewInstance(id, "breno", rail.RoleEntry, "").WithServing(environment, "")
	}
	engine := rail.NewInstance("m1", "breno", rail.RoleEngine, "").WithServing("tin-writer", "v1")
	filtered := outside.FilterEnvironment("production", []rail.Instance{entry("a", "trial"), entry("b", "production"), engine})
	is.Equal(filtered, []rail.Instance{entry("b", "production"), engine})
}
