package transport

import (
	"testing"

	"github.com/valyala/fasthttp"

	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
)

func TestCloudOutcome(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		body   []byte
		want   rpc.Outcome
	}{
		"answered":        {fasthttp.StatusOK, nil, rpc.OK},
		"bad request":     {fasthttp.StatusBadRequest, nil, rpc.Invalid},
		"no capacity":     {fasthttp.StatusServiceUnavailable, protocol.EncodeNoCapacity(), rpc.NotFound},
		"unavailable":     {fasthttp.StatusServiceUnavailable, protocol.EncodeError("later"), rpc.Refused},
		"unreadable body": {fasthttp.StatusServiceUnavailable, []byte("x"), rpc.Refused},
		"throttled":       {fasthttp.StatusTooManyRequests, nil, rpc.Refused},
		"internal error":  {fasthttp.StatusInternalServerError, nil, rpc.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			if got := cloudOutcome(c.status, c.body); got != c.want {
				t.Errorf("outcome %d, want %d", got, c.want)
			}
		})
	}
}

func TestCloudRequests(t *testing.T) {
	client := &CloudClient{client: &fasthttp.HostClient{Addr: "cloud:1"}}
	provisioning := protocol.ProvisioningRequest{RequestID: "r", Type: "m4", Zone: "north", Count: 2}
	for name, c := range map[string]struct {
		call        message.CloudCall
		method, uri string
		body        []byte
	}{
		"list of types":  {message.CloudCall{Op: message.CloudListTypes}, "GET", "http://cloud:1/flavors", nil},
		"first page":     {message.CloudCall{Op: message.CloudListMachines}, "GET", "http://cloud:1/rentals?limit=500", nil},
		"following page": {message.CloudCall{Op: message.CloudListMachines, StartAfter: "i-1"}, "GET", "http://cloud:1/rentals?after=i-1&limit=500", nil},
		"scale-out": {
			message.CloudCall{Op: message.CloudScaleOut, Provisioning: provisioning},
			"POST", "http://cloud:1/rentals", protocol.Encode(provisioning),
		},
		"scale-in": {
			message.CloudCall{Op: message.CloudScaleIn, Machines: []string{"i-1"}},
			"POST", "http://cloud:1/rentals/return", protocol.Encode(protocol.MachineNames{Names: []string{"i-1"}}),
		},
	} {
		t.Run(name, func(t *testing.T) {
			var req fasthttp.Request
			client.writeRequest(&req, c.call)
			if got := string(req.Header.Method()) + " " + req.URI().String(); got != c.method+" "+c.uri {
				t.Errorf("request %s", got)
			}
			if string(req.Body()) != string(c.body) {
				t.Errorf("body %q, want %q", req.Body(), c.body)
			}
		})
	}
}
