package httpclient_test

import (
	"strings"
	"testing"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
)

// Guards against a response that is an answer although its upstream stopped within the header.
func TestResponseThatIsCutInItsHeaderIsNoAnswer(t *testing.T) {
	const rest = "Content-Type: text/plain\r\nX-Y: a,\r\n b\r\n"
	headers := map[string]string{
		"length":            line + own + rest + length + "\r\n",
		"length first":      line + length + own + rest + "\r\n",
		"chunks":            line + own + rest + "Transfer-Encoding: chunked\r\n\r\n",
		"until close":       line + own + rest + "\r\n",
		"HTTP/1.0":          strings.Replace(line, "1.1", "1.0", 1) + own + rest + "\r\n",
		"interim, then 200": "HTTP/1.1 103 Early Hints\r\nX-Y: a\r\n\r\n" + line + own + length + "\r\n",
	}
	for name, header := range headers {
		t.Run(name, func(t *testing.T) {
			for size := range len(header) {
				if _, body, err := httpclient.ReadAnswer([]byte(header[:size]), exchange("ID")); err == nil {
					t.Errorf("%q was taken for an answer with the body %q", header[:size], body)
				}
			}
		})
	}
}
