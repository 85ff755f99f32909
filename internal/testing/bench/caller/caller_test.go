package caller

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against an error without a cause when entries respond but return no addresses.
func TestMissingAddressesHaveACause(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"refused":      func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"no addresses": func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{}`)) },
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(handler)
			defer server.Close()
			_, err := New("c", []string{strings.TrimPrefix(server.URL, "http://")}).addresses(t.Context())
			var response *ResponseError
			if !errors.As(err, &response) || response.Cause == nil {
				t.Fatalf("got %v", err)
			}
		})
	}
}
