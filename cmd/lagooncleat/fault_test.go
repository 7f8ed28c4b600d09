package main_test

import (
	"fmt"
	"sync"
	"syscall"

	"github.com/onsi/ginkgo/v2"
)

var _ = ginkgo.Describe("an entry host's failure", func() {
	cases := []struct {
		name   string
		signal syscall.Signal
	}{
		{"kill", syscall.SIGKILL},
		{"freeze", syscall.SIGSTOP},
	}
	for i, c := range cases {
		ginkgo.It("does not prevent complete answers at the other host: "+c.name, func() {
			d := newDeployment(10 + i)
			sessions := d.startDesk()
			for _, h := range d.hosts {
				awaitFullAnswer(h.Listen.Callers)
			}
			const clients, requests = 4, 60
			var group sync.WaitGroup
			var once sync.Once
			for n := range clients {
				group.Go(func() {
					defer ginkgo.GinkgoRecover()
					for i := range requests {
						if i == requests/4 {
							once.Do(func() { sessions[0].Signal(c.signal) })
						}
						token := fmt.Sprintf(`"caller %d request %d"`, n, i)
						queryInFull(d.hosts[1].Listen.Callers, token)
					}
				})
			}
			group.Wait()
		})
	}
})
