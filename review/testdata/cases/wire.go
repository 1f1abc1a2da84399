package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// object is a message: a MessagePack map keyed by text.
type object = map[string]any

const maxBody = 64 << 10 // the protocol's limit, in bytes of JSON

func encode(v any) []byte {
	body, err := msgpack.Marshal(v)
	if err != nil {
		panic(err)
	}
	return body
}

func decode(body []byte) (object, error) {
	var v any
	decoder := msgpack.NewDecoder(bytes.NewReader(body))
	if err := decoder.Decode(&v); err != nil {
		return nil, err
	}
	m, ok := v.(map[string]any)
	if !ok {
		return nil, errors.New("not a map")
	}
	return m, nil
}

// jsonSize returns the size of a value in JSON, the form in which the protocol counts sizes.
func jsonSize(v any) int {
	text, err := json.Marshal(v)
	if err != nil {
		return 0
	}
	return len(text)
}

func integer(v any) int64 {
	switch n := v.(type) {
	case int8:
		return int64(n)
	case int16:
		return int64(n)
	case int32:
		return int64(n)
	case int64:
		return n
	case int:
		return int64(n)
	case uint8:
		return int64(n)
	case uint16:
		return int64(n)
	case uint32:
		return int64(n)
	case uint64:
		return int64(n)
	case float32:
		return int64(n)
	case float64:
		return int64(n)
	}
	return 0
}

func number(v any) float64 {
	switch n := v.(type) {
	case float32:
		return float64(n)
	case float64:
		return n
	}
	return float64(integer(v))
}

func text(v any) string { s, _ := v.(string); return s }

func list(v any) []any { l, _ := v.([]any); return l }

func readBody(r *http.Request, limit int64) (object, bool) {
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil || int64(len(body)) > limit {
		return nil, false
	}
	m, err := decode(body)
	return m, err == nil
}

func respond(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/msgpack")
	w.WriteHeader(status)
	if v != nil {
		_, _ = w.Write(encode(v))
	}
}

// dropConnection ends a request without an answer.
func dropConnection(w http.ResponseWriter) {
	if hijacker, ok := w.(http.Hijacker); ok {
		if connection, _, err := hijacker.Hijack(); err == nil {
			_ = connection.Close()
		}
	}
}

// loopback is a loopback address of this process's own, so that runs beside each other and the ports
// of outgoing connections, which are on 127.0.0.1, don't get in the way of its listeners.
var loopback = fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()>>7&0x7f, 1+os.Getpid()&0x7f)

func listen() (net.Listener, error) { return net.Listen("tcp4", loopback+":0") }

// freeAddress returns a loopback address whose port is free.
func freeAddress() (string, error) {
	l, err := listen()
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

func newClient() *http.Client {
	dialer := &net.Dialer{Timeout: 500 * time.Millisecond}
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, MaxIdleConns: 0, IdleConnTimeout: 10 * time.Second, DisableCompression: true,
	}}
}

// answer is the answer to a request; status 0 means that there was none.
type answer struct {
	status int
	body   object
	header http.Header
	err    error
}

func call(client *http.Client, timeout time.Duration, method, url string, message any) answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var body io.Reader
	if message != nil {
		body = bytes.NewReader(encode(message))
	}
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return answer{err: err}
	}
	if message != nil {
		request.Header.Set("Content-Type", "application/msgpack")
	}
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{err: err}
	}
	m, _ := decode(content)
	return answer{status: response.StatusCode, body: m, header: response.Header}
}
