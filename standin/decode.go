package standin

import (
	"encoding/json"
	"net/http"

	"github.com/labstack/echo/v4"
)

// Decode reads the JSON body of a request into the value; its error makes the response 400 Bad Request.
func Decode(c echo.Context, value any) error {
	if err := json.NewDecoder(c.Request().Body).Decode(value); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error()).SetInternal(err)
	}
	return nil
}
