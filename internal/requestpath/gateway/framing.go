package gateway

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/requestpath/gateway/pipeline"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// checkFraming rejects requests whose framing two HTTP implementations may interpret differently, so
// that no part of a body is parsed as a request (request smuggling). The library has already parsed the
// head, but tolerates malformed fields; raw holds the lines of the header fields, including the empty
// line at the end. Errors: CallBadRequest.
func checkFraming(raw []byte, http11 bool) error {
	var framing framing
	for len(raw) > 0 {
		end := bytes.IndexByte(raw, '\n')
		if end < 0 {
			end = len(raw) - 1
		}
		line := raw[:end+1]
		raw = raw[end+1:]
		if !bytes.HasSuffix(line, []byte("\r\n")) {
			return result.Errorf(result.CallBadRequest, "a header line does not end in CRLF")
		}
		line = line[:len(line)-2]
		if len(line) == 0 {
			break
		}
		if err := framing.add(line); err != nil {
			return err
		}
	}
	return framing.check(http11)
}

// framing counts the header fields that determine the end of the body (lengths, encodings) and the
// target host.
type framing struct{ lengths, encodings, hosts int }

// add counts a header field, given as a line without its line end. Errors: CallBadRequest if the field
// is not well-formed.
func (f *framing) add(line []byte) error {
	if line[0] == ' ' || line[0] == '\t' {
		return result.Errorf(result.CallBadRequest, "a header line is folded")
	}
	if bytes.IndexByte(line, '\r') >= 0 || bytes.IndexByte(line, 0) >= 0 {
		return result.Errorf(result.CallBadRequest, "a header line has a control character")
	}
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !callapi.IsToken(name) {
		return result.Errorf(result.CallBadRequest, "a header line has no valid field name")
	}
	value = bytes.TrimSpace(value)
	switch strings.ToLower(string(name)) {
	case "content-length":
		f.lengths++
		if _, err := strconv.ParseUint(string(value), 10, 63); err != nil || value[0] == '+' {
			return result.Errorf(result.CallBadRequest, "the content length is not a number")
		}
	case "transfer-encoding":
		f.encodings++
		if !strings.EqualFold(string(value), "chunked") {
			return result.Errorf(result.CallBadRequest, "the transfer encoding is not chunked")
		}
	case "host":
		f.hosts++
	}
	return nil
}

// check checks the combination of the counted fields. Errors: CallBadRequest.
func (f *framing) check(http11 bool) error {
	switch {
	case f.lengths+f.encodings > 1:
		return result.Errorf(result.CallBadRequest, "the body's length is stated more than once")
	case f.encodings > 0 && !http11:
		return result.Errorf(result.CallBadRequest, "a transfer encoding needs HTTP/1.1")
	case f.hosts > 1 || (http11 && f.hosts == 0):
		return result.Errorf(result.CallBadRequest, "the request must have exactly one Host field")
	default:
		return nil
	}
}

// checkLimits rejects requests that are larger than the configuration allows; a limit of 0 stands for no
// limit. Errors: CallHeadTooLarge, CallBodyTooLarge.
func checkLimits(limits *lapisv1.Limits, headerBytes int, bodyBytes int64) error {
	if allowed := int(limits.GetHeaderBytes()); allowed > 0 && headerBytes > allowed {
		return result.Errorf(result.CallHeadTooLarge, "header of %d bytes exceeds the limit of %d bytes", headerBytes, allowed)
	}
	if allowed := int64(limits.GetBodyBytes()); allowed > 0 && bodyBytes > allowed {
		return result.Errorf(result.CallBodyTooLarge, "body of %d bytes exceeds the limit of %d bytes", bodyBytes, allowed)
	}
	return nil
}

// headLimits returns the limits of heads that are in force.
func (g *Gateway) headLimits() pipeline.HeadLimits {
	if current := g.config.Snapshots.Current(); current != nil {
		return headLimitsOf(current.Limits)
	}
	return headLimitsOf(nil)
}

// headLimitsOf returns the limits of heads that a configuration sets, within those of this package.
func headLimitsOf(configured *lapisv1.Limits) pipeline.HeadLimits {
	limits := pipeline.HeadLimits{Bytes: maxHeaderBytes, Timeout: headerTimeout}
	if allowed := int(configured.GetHeaderBytes()); allowed > 0 {
		limits.Bytes = min(limits.Bytes, allowed+maxRequestLineBytes)
	}
	if millis := configured.GetHeaderTimeoutMillis(); millis > 0 {
		limits.Timeout = min(limits.Timeout, time.Duration(millis)*time.Millisecond)
	}
	return limits
}
