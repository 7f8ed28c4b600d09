package main_test

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/lagooncleat/lagooncleat/internal/loader"
	"github.com/lagooncleat/lagooncleat/platform/imitator"
)

// Crowd and bounds, fixed before the limits on clients existed.
const (
	crowdMemoryMegabytes = 16
	crowdConnections     = 100
	// maxCrowdResident is what a process may use under load, in KB: it uses some 30 MB at rest, and the heap
	// may grow to twice what is in use.
	maxCrowdResident = 96 << 10
	// maxCrowdDescriptors leaves 150 descriptors for servers, peers, files and the other listeners.
	maxCrowdDescriptors = crowdConnections + 150
	// crowdHold is how long the clients stay after they have sent all that is read.
	crowdHold = time.Second
	// crowdPatience is how long a client waits to send a further part.
	crowdPatience = 2 * time.Second
)

// crowd is a number of clients that each send a text on a connection of its own, and leave it open.
type crowd struct {
	name  string
	count int
	// control sends it to a control host in place of an entry host.
	control bool
	text    string
}

// post is the head of a request that the ledger's servers run and never answer, without its last line.
const post = "POST /post/crowd HTTP/1.1\r\nHost: soak.example\r\nX-Request-Id: crowd\r\n"

// shortLines returns count header lines of the form with different names.
func shortLines(count int, form string) string {
	var lines strings.Builder
	for i := range count {
		fmt.Fprintf(&lines, form, strconv.FormatInt(int64(i), 36))
	}
	return lines.String()
}

// chunks returns a body of count chunks of 1 KB, without its end.
func chunks(count int) string {
	return strings.Repeat("400\r\n"+strings.Repeat("b", 1024)+"\r\n", count)
}

var crowds = []crowd{
	{"with very many short header lines", 250, false, post + shortLines(2700, "%s:\n") + "Content-Length: 0\r\n\r\n"},
	{"with odd header lines", 250, false, post + shortLines(1800, "%s:\n \t\n") + "Content-Length: 0\r\n\r\n"},
	{"with heads over the limit", 30, false, post + shortLines(150_000, "%s:\n") + "\r\n"},
	{"with heads without end", 30, false, post + shortLines(150_000, "%s:\n")},
	{"with a header line without end", 100, false, post + "X-Long: " + strings.Repeat("a", 8<<20)},
	{"with empty lines without end", 100, false, strings.Repeat("\r\n", 1<<20)},
	{"with empty lines after a request", 100, false, post + "Content-Length: 0\r\n\r\n" + strings.Repeat("\r\n", 1<<20)},
	{"with whole bodies", 250, false, post + "Content-Length: 262144\r\n\r\n" + strings.Repeat("b", 262144)},
	{"with bodies that stop short", 250, false, post + "Content-Length: 262144\r\n\r\n" + strings.Repeat("b", 262143)},
	{"with chunks that stop short", 250, false, post + "Transfer-Encoding: chunked\r\n\r\n" + chunks(255)},
	{"with idle connections", 400, false, ""},
	{"with heads without end to a control host", 30, true, "PUT /instances/x HTTP/1.1\r\nHost: c\r\n" + shortLines(150_000, "%s:\n")},
	{"with declarations that stop short", 10, true, "PUT /config HTTP/1.1\r\nHost: c\r\nContent-Length: 16777216\r\n\r\n" + strings.Repeat(" ", 16777215)},
	{"with idle connections to a control host", 400, true, ""},
}

// attack sends the crowd's text from all clients, in pieces and at once, and returns their open connections.
func (c crowd) attack(address string) (open []net.Conn) {
	var group sync.WaitGroup
	var mutex sync.Mutex
	for range c.count {
		group.Go(func() {
			connection, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			mutex.Lock()
			open = append(open, connection)
			mutex.Unlock()
			for rest := c.text; rest != "" && err == nil; {
				piece := rest[:min(len(rest), 16<<10)]
				rest = rest[len(piece):]
				// A host that reads no more holds no more.
				_ = connection.SetWriteDeadline(time.Now().Add(crowdPatience))
				_, err = connection.Write([]byte(piece))
			}
		})
	}
	group.Wait()
	return open
}

// maxResident returns the most memory that a process has used, in KB.
func maxResident(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return kilobytes
}

func descriptors(pid int) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return len(entries)
}

// These guard against clients that make a process run out of memory or descriptors.
var _ = ginkgo.Describe("a crowd of untrusted clients", func() {
	for i, c := range crowds {
		ginkgo.It(c.name+" doesn't end a host", func() {
			s := newSoak(60+i, 1, func(l *loader.Settings) {
				l.Clients = loader.Clients{
					MemoryMegabytes: crowdMemoryMegabytes, ClientMemoryMegabytes: crowdMemoryMegabytes,
					Connections: crowdConnections, ClientConnections: crowdConnections,
				}
				l.MemoryLimitMegabytes = maxCrowdResident >> 10 * 2 / 3
			})
			gomega.Eventually(func() bool { return s.declare(1) }, waitLimit, "100ms").Should(gomega.BeTrue())
			entry := s.host(imitator.Domains)
			ordinary := 0
			answered := func() bool { ordinary++; return s.search(0, imitator.Domains, fmt.Sprintf("ordinary-%d", ordinary)) }
			gomega.Eventually(answered, waitLimit, "100ms").Should(gomega.BeTrue())
			for d := range imitator.Domains {
				gomega.Expect(s.servers.SetFault(imitator.Shards, d, imitator.Silent)).To(gomega.Succeed())
			}
			target, address := entry, entry.address(soakClientPort)
			if c.control {
				target = s.host(0)
				address = target.address(soakControlPort)
			}
			open := c.attack(address)
			time.Sleep(crowdHold)
			pid := target.session.Command.Process.Pid
			gomega.Expect(target.session).NotTo(gexec.Exit())
			held, resident := descriptors(pid), maxResident(pid)
			ginkgo.GinkgoWriter.Println("crowd", c.name, "descriptors", held, "KB", resident)
			gomega.Expect(held).To(gomega.BeNumerically("<=", maxCrowdDescriptors))
			gomega.Expect(resident).To(gomega.BeNumerically("<=", maxCrowdResident))
			gomega.Eventually(answered, waitLimit, "100ms").Should(gomega.BeTrue())
			gomega.Expect(s.declare(2)).To(gomega.BeTrue())
			for _, connection := range open {
				connection.Close()
			}
			gomega.Expect(s.violations).To(gomega.BeEmpty())
		})
	}
})
