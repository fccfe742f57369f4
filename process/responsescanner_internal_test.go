package process

import (
	"bufio"
	"net/http"
	"regexp"
	"strings"
	"testing"
)

// form is that of heads that the scanner must accept if net/http does.
var form = regexp.MustCompile(`^HTTP/1\.[0-9] [1-5][0-9]{2}( [ -~]*)?\r?\n([!#$%&'*+.^_|~0-9A-Za-z-]{1,200}:[ -~]*\r?\n)*\r?\n`)

// FuzzResponseScanner checks that the scanner accepts a head byte by byte as it does at once, and rejects
// none of the usual form that net/http reads.
func FuzzResponseScanner(f *testing.F) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200\r\n\r\n",
		"HTTP/1.1 200 \n\n",
		"HTTP/1.0 599 x y\r\nA: b\r\n c\r\n\r\n",
		"HTTP/1.1 200 OK\r\n: b\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA b\r\n\r\n",
		"HTTP/2.0 200 OK\r\n\r\n",
		"HTTP/1.1 20 OK\r\n\r\n",
		"HTTP/1.1 200 OK\rX\r\n\r\n",
	} {
		f.Add(head)
	}
	f.Fuzz(func(t *testing.T, head string) {
		var whole, stepwise ResponseScanner
		ok := whole.Write([]byte(head))
		stepsOK := true
		for i := range len(head) {
			stepsOK = stepsOK && stepwise.Write([]byte{head[i]})
		}
		if ok != stepsOK || ok && whole != stepwise {
			t.Fatalf("%q: at once %v %+v, by bytes %v %+v", head, ok, whole, stepsOK, stepwise)
		}
		res, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head)), nil)
		if err != nil || ok && whole.part == headDone {
			return
		}
		res.Body.Close()
		if form.MatchString(head) {
			t.Errorf("%q: not accepted, %+v", head, whole)
		}
	})
}
