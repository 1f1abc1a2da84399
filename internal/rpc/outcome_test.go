package rpc

import (
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

func TestOutcomeOfStatus(t *testing.T) {
	for status, want := range map[int]Outcome{
		200: OK, 400: Invalid, 404: NotFound, 409: Conflict, 429: Refused, 503: Refused,
		201: Unknown, 302: Unknown, 500: Unknown, 504: Unknown,
	} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			if got := OutcomeOfStatus(status); got != want {
				t.Errorf("outcome %d, want %d", got, want)
			}
		})
	}
}

func TestOutcomeOfError(t *testing.T) {
	for name, c := range map[string]struct {
		err  error
		want Outcome
	}{
		"no connection":         {&DialError{errors.New("refused")}, NotSent},
		"wrapped":               {fmt.Errorf("call: %w", &DialError{errors.New("refused")}), NotSent},
		"no free connection":    {fasthttp.ErrNoFreeConns, NotSent},
		"timeout":               {fasthttp.ErrTimeout, Unknown},
		"closed while in use":   {fasthttp.ErrConnectionClosed, Unknown},
		"anything else unknown": {errors.New("reset"), Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			if got := OutcomeOfError(c.err); got != c.want {
				t.Errorf("outcome %d, want %d", got, c.want)
			}
		})
	}
}

func TestDialFailureIsDialError(t *testing.T) {
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	dial := NewDialFunc(5 * time.Second)
	connection, err := dial(address)
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(connection.Close(), listener.Close()); err != nil {
		t.Fatal(err)
	}
	_, err = dial(address)
	var failure *DialError
	if !errors.As(err, &failure) || failure.Err == nil {
		t.Errorf("dialing a closed port: %v, want a *DialError", err)
	}
}
