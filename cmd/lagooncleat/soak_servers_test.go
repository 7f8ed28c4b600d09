package main_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/onsi/gomega"
)

const (
	soakShards   = 4
	soakDomains  = 3
	soakGreatest = 3
	// soakRecords is how many records a part holds.
	soakRecords = 5
	// soakAnnouncement separates the announcements of a fake server.
	soakAnnouncement = 300 * time.Millisecond
)

// soakServer is a fake backend server that speaks the platform's protocol.
type soakServer struct {
	id, service, domain, address string
	born                         int64
	servers                      *soakServers
	listener                     net.Listener
}

// soakServers are the fake servers of a soak and what they have seen.
type soakServers struct {
	controls []string
	mutex    sync.Mutex
	// runs counts the runs of each request at the service that must not repeat.
	runs map[string]int
	stop chan struct{}
	wait sync.WaitGroup
}

func newSoakServers(controls []string) *soakServers {
	s := &soakServers{controls: controls, runs: map[string]int{}, stop: make(chan struct{})}
	for i := range soakShards + 1 {
		service := fmt.Sprintf("shard-%d", i)
		if i == soakShards {
			service = "ledger"
		}
		for d := range soakDomains {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			server := &soakServer{
				id: fmt.Sprintf("%s-%d", service, d), service: service, domain: fmt.Sprintf("fd-%d", d),
				address: l.Addr().String(), born: time.Now().UnixMilli(), servers: s, listener: l,
			}
			s.wait.Go(func() {
				// Close ends it.
				_ = http.Serve(l, server)
			})
			s.wait.Go(server.announce)
		}
	}
	return s
}

func (s *soakServers) close() {
	close(s.stop)
	s.wait.Wait()
}

// announce tells the control hosts in turn about the server, another one after each failure.
func (b *soakServer) announce() {
	client := &http.Client{Timeout: time.Second}
	at := int(b.born) % len(b.servers.controls)
	for sequence := 1; ; sequence++ {
		body := fmt.Sprintf(`{"backend":%q,"address":%q,"zone":%q,"slots":3,"state":"ready","warmupLeftMs":0,"seq":%d,"born":%d}`,
			b.service, b.address, b.domain, sequence, b.born)
		request, err := http.NewRequest("PUT", "http://"+b.servers.controls[at]+"/instances/"+b.id, strings.NewReader(body))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		response, err := client.Do(request)
		if err == nil {
			response.Body.Close()
		}
		if err != nil || response.StatusCode != 200 {
			at = (at + 1) % len(b.servers.controls)
		}
		select {
		case <-b.servers.stop:
			b.listener.Close()
			return
		case <-time.After(soakAnnouncement):
		}
	}
}

// ServeHTTP runs a request: a part of a search, or a posting that must run once only.
func (b *soakServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("X-Expect-Instance") != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	// A client that breaks off has not sent a whole request.
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	if b.service == "ledger" {
		b.servers.mutex.Lock()
		b.servers.runs[id]++
		b.servers.mutex.Unlock()
	}
	time.Sleep(2 * time.Millisecond)
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Server-Stamp", soakSignature(b.service, id))
	// The caller may be gone.
	_, _ = w.Write(soakPart(b.service, r.URL.Path))
}

func soakSignature(service, request string) string { return service + "." + request }

// soakPart returns the records of a service for a path, in no order.
func soakPart(service, path string) []byte {
	var part []byte
	for i := range soakRecords {
		sum := sha256.Sum256(binary.BigEndian.AppendUint32([]byte(service+path), uint32(i)))
		part = append(part, sum[:16]...)
	}
	return part
}

// soakMerged returns the greatest records of the parts of some services.
func soakMerged(services []string, path string) []byte {
	var records [][]byte
	for _, s := range services {
		records = slices.AppendSeq(records, slices.Chunk(soakPart(s, path), 16))
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	return bytes.Join(records[:min(soakGreatest, len(records))], nil)
}

// checkSearch returns what is wrong with a success, or nothing.
func checkSearch(header http.Header, body []byte, id, path string) string {
	var services []string
	for signature := range strings.SplitSeq(header.Get("X-Part-Stamps"), ", ") {
		service, request, _ := strings.Cut(signature, ".")
		if request != id || slices.Contains(services, service) {
			return fmt.Sprintf("signature %q in an answer to %s", signature, id)
		}
		services = append(services, service)
	}
	var missing int
	if _, err := fmt.Sscan(header.Get("X-Missing-Parts"), &missing); err != nil || missing+len(services) != soakShards {
		return fmt.Sprintf("%d parts and %q missing", len(services), header.Get("X-Missing-Parts"))
	}
	if 2*len(services) < soakShards {
		return fmt.Sprintf("a success with %d parts", len(services))
	}
	if !bytes.Equal(body, soakMerged(services, path)) {
		return fmt.Sprintf("the records are not the greatest of %v", services)
	}
	return ""
}
