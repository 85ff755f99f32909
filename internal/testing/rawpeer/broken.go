package rawpeer

import (
	"fmt"
	"strings"
	"testing"
)

// Sound returns a response with the status line, lines of its header and a body of that length.
func Sound(status string, fields []string, body string) string {
	head := "HTTP/1.1 " + status + "\r\n"
	for _, field := range fields {
		head += field + "\r\n"
	}
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

// broken returns what no reader may take for the response, by what is wrong with it.
func broken(response string) map[string]string {
	head, body, _ := strings.Cut(response, "\r\n\r\n")
	with := func(line string) string { return head + "\r\n" + line + "\r\n\r\n" + body }
	texts := map[string]string{
		"nothing":                        "",
		"blank in a name":                with("X Y: v"),
		"control byte in a name":         with("X\x01Y: v"),
		"control byte in a value":        with("X-Y: a\x01b"),
		"chunks beside a length":         with("Transfer-Encoding: chunked"),
		"two lengths":                    with("Content-Length: 1"),
		"status 000":                     "HTTP/1.1 000" + response[len("HTTP/1.1 200"):],
		"another version":                "HTTP/2.0" + response[len("HTTP/1.1"):],
		"cut in its header":              head[:len(head)/2],
		"header without its last line":   head + "\r\n",
		"header that runs on in another": head + "\r\nContent-Type: text/pl" + response,
		"broken interim header":          "HTTP/1.1 103 Early Hints\r\nX Y: v\r\n\r\n" + response,
	}
	if len(body) > 1 {
		length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
		half := len(response) - len(body)/2
		texts["cut in its body"] = response[:half]
		texts["cut in its body and run on"] = response[:half] + response
		texts["cut before its body and run on"] = response[:len(response)-len(body)] + response
		texts["cut in its body, without a length"] = strings.Replace(response[:half], length, "", 1)
		texts["cut in its chunk"] = strings.Replace(head+"\r\n", length, "Transfer-Encoding: chunked\r\n", 1) +
			fmt.Sprintf("\r\n%x\r\n%s", len(body), body[:len(body)/2])
	}
	return texts
}

// CheckBroken calls read with the addresses of peers that send the sound response and broken ones. read returns an error if it does not
// take what it got for a response.
func CheckBroken(t *testing.T, sound string, read func(t *testing.T, address string) error) {
	t.Helper()
	t.Run("sound", func(t *testing.T) {
		if err := read(t, ServeOnce(t, Response{Text: sound})); err != nil {
			t.Fatal(err)
		}
	})
	for name, text := range broken(sound) {
		t.Run(name, func(t *testing.T) {
			if read(t, ServeOnce(t, Response{Text: text})) == nil {
				t.Fatalf("%q was taken for a response", text)
			}
		})
	}
}
