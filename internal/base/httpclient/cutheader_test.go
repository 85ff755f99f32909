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
		"length":            okLine + ownID + rest + lengthOne + "\r\n",
		"length first":      okLine + lengthOne + ownID + rest + "\r\n",
		"chunks":            okLine + ownID + rest + "Transfer-Encoding: chunked\r\n\r\n",
		"until close":       okLine + ownID + rest + "\r\n",
		"HTTP/1.0":          strings.Replace(okLine, "1.1", "1.0", 1) + ownID + rest + "\r\n",
		"interim, then 200": "HTTP/1.1 103 Early Hints\r\nX-Y: a\r\n\r\n" + okLine + ownID + lengthOne + "\r\n",
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
