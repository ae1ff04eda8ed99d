package testkit

import (
	"fmt"
	"maps"
	"regexp"
	"strings"
)

// MalformedAnswers returns answers that no client may accept, by their fault. fields holds
// the lines by which they would match their request, each with its line end.
func MalformedAnswers(fields, body string) map[string]string {
	whole := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	sound := "HTTP/1.1 200 OK\r\n" + fields + whole
	out := map[string]string{
		"status 000 without length":   "HTTP/1.1 000 None\r\n" + fields + "\r\n" + body,
		"status 000 before an answer": "HTTP/1.1 000 None\r\n\r\n" + sound,
		"status 000 around an answer": fmt.Sprintf("HTTP/1.1 000 None\r\n%sContent-Length: %d\r\n\r\n%s", fields, len(sound), sound),
	}
	maps.Copy(out, malformedFields(fields, body))
	maps.Copy(out, chunkedHTTP10(fields, body))
	for _, status := range []string{"000", "099", "+20", "-00"} {
		out["status "+status] = "HTTP/1.1 " + status + " None\r\n" + fields + whole
	}
	for _, c := range []string{"\x00", "\x01", "\x0b", "\r", "\x7f"} {
		out[fmt.Sprintf("reason with %q", c)] = "HTTP/1.1 200 O" + c + "K\r\n" + fields + whole
	}
	for _, version := range []string{"HTTP/0.9", "HTTP/2.0", "HTTP/1", "http/1.1", "ICY"} {
		out["version "+version] = version + " 200 OK\r\n" + fields + whole
	}
	return out
}

// chunkedHTTP10 returns answers of HTTP/1.0 with a field that this version doesn't have, which leaves
// the end of their bodies open.
func chunkedHTTP10(fields, body string) map[string]string {
	out := make(map[string]string)
	for name, field := range map[string]string{"": "Transfer-Encoding: chunked\r\n", " in lower case": "transfer-encoding:chunked\r\n"} {
		head := "HTTP/1.0 200 OK\r\n" + fields + field
		out["chunks in HTTP/1.0"+name] = fmt.Sprintf("%s\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
		out["chunks in HTTP/1.0 behind an interim answer"+name] = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + out["chunks in HTTP/1.0"+name]
		out["chunks and length in HTTP/1.0"+name] = fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
	return out
}

// fieldValue matches the colon and the value of a line.
var fieldValue = regexp.MustCompile(`: [^\r]*`)

// malformedFields returns answers with a line that is no field.
func malformedFields(fields, body string) map[string]string {
	head := "HTTP/1.1 200 OK\r\n" + fields
	whole := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	out := map[string]string{
		"interim with a blank":  "HTTP/1.1 103 Early Hints\r\nX Odd: v\r\n\r\n" + head + whole,
		"length before a blank": fmt.Sprintf("%sContent-Length : %d\r\n\r\n%s", head, len(body), body),
		"chunks before a blank": fmt.Sprintf("%sTransfer-Encoding : chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body),
		"answer to another request with a blank": "HTTP/1.1 200 OK\r\n" + fieldValue.ReplaceAllString(fields, ": other") +
			"X Odd: v\r\nContent-Length: 0\r\n\r\n" + head + whole,
		"no name":  head + ": v\r\n" + whole,
		"no colon": head + "X-Odd\r\n" + whole,
	}
	for _, c := range []string{" ", "\t", "\x00", "\x01", "\x0b", "\r", "\x7f", "\xe9", "(", "@"} {
		out[fmt.Sprintf("name with %q", c)] = head + "X" + c + "Odd: v\r\n" + whole
		out[fmt.Sprintf("name before %q", c)] = head + "X-Odd" + c + ": v\r\n" + whole
		if c < " " && c != "\t" || c == "\x7f" {
			out[fmt.Sprintf("value with %q", c)] = head + "X-Odd: v" + c + "w\r\n" + whole
		}
	}
	return out
}

// SoundAnswers returns answers that every client must accept, by what is unusual about them.
func SoundAnswers(fields, body string) map[string]string {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	whole := length + "\r\n" + body
	return map[string]string{
		"length":                       "HTTP/1.1 200 OK\r\n" + fields + whole,
		"no length":                    "HTTP/1.1 200 OK\r\n" + fields + "\r\n" + body,
		"chunks":                       fmt.Sprintf("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", fields, len(body), body),
		"HTTP/1.0":                     "HTTP/1.0 200 OK\r\n" + fields + whole,
		"HTTP/1.0 without length":      "HTTP/1.0 200 OK\r\n" + fields + "X-Transfer-Encoding: chunked\r\n\r\n" + body,
		"no reason":                    "HTTP/1.1 200\r\n" + fields + whole,
		"reason with a tab":            "HTTP/1.1 200 O\tK \xe9\r\n" + fields + whole,
		"line feeds alone":             strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+fields+length+"\r\n", "\r", "") + body,
		"folded value":                 "HTTP/1.1 200 OK\r\n" + fields + "X-Odd: a\r\n b : c\r\n\t\r\n" + whole,
		"every character of a name":    "HTTP/1.1 200 OK\r\n" + fields + "X!#$%&'*+-.^_`|~09az: v\r\n" + whole,
		"value with a tab and letters": "HTTP/1.1 200 OK\r\n" + fields + "X-Odd: a\tb \xe9\xff\r\nX-Empty:\r\n" + whole,
		"interim":                      "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + whole,
	}
}
