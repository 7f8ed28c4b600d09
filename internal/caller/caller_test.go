package caller_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/internal/caller"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

func TestCaller(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "caller")
}

var attempt = identifier.AttemptID{Request: "q", Sequence: 2}

// respond returns a handler that responds with a status and a body.
func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		// The error is ignored: if the write fails, so does the assertion on the result.
		_, _ = w.Write([]byte(body))
	}
}

// closeConnection closes the connection without a response.
func closeConnection(w http.ResponseWriter, _ *http.Request) {
	connection, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		connection.Close()
	}
}

var (
	lost    = reducer.CallLost{Server: "s", Attempt: attempt}
	refused = func(r reducer.RefusalReason) reducer.CallRefused {
		return reducer.CallRefused{Server: "s", Attempt: attempt, Reason: r}
	}
)

var _ = ginkgo.Describe("Do", func() {
	cases := []struct {
		name    string
		handler http.HandlerFunc
		result  reducer.SlotEvent
	}{
		{
			"served", respond(200, `{"attempt":"q/2","snapshot":{"epoch":1,"version":2},"range":{"from":0,"to":5},"body":7}`),
			reducer.CallServed{
				Attempt: attempt, Server: "s", Snapshot: identifier.Snapshot{Epoch: 1, Version: 2},
				Range: identifier.HashRange{To: 5}, Body: []byte("7"),
			},
		},
		{"a part of another attempt counts as lost", respond(200, `{"attempt":"q/3"}`), lost},
		{"a malformed part counts as lost", respond(200, `{`), lost},
		{"shed", respond(503, `{"kind":"not-run"}`), refused(reducer.RefusedByServer)},
		{"snapshot gone", respond(503, `{"kind":"snapshot-gone"}`), refused(reducer.RefusedSnapshot)},
		{"a refusal of unknown kind may have run", respond(503, `{"kind":"other"}`), lost},
		{"an error may have run", respond(500, `{"kind":"not-run"}`), lost},
		{"a closed connection may have run", closeConnection, lost},
	}
	for _, c := range cases {
		ginkgo.It("reports "+c.name, func() {
			server := httptest.NewServer(c.handler)
			defer server.Close()
			call := reducer.Call{
				Server: "s", Attempt: attempt, Connections: 1,
				Address: identifier.Address(server.Listener.Addr().String()),
			}
			gomega.Expect(do(call)).To(gomega.Equal(c.result))
		})
	}

	ginkgo.It("reports a server that refuses the connection as not run", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		address := identifier.Address(l.Addr().String())
		l.Close()
		call := reducer.Call{Server: "s", Attempt: attempt, Connections: 1, Address: address}
		gomega.Expect(do(call)).To(gomega.Equal(refused(reducer.RefusedUnreachable)))
	})
})

func do(call reducer.Call) reducer.SlotEvent {
	c := caller.New()
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	return c.Do(ctx, call, identifier.Second)
}
