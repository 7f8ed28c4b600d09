//go:build review

package main

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// spoiledShare is the share of the answers that a server spoils, for garbleTime each time.
	spoiledShare = 0.02
	stampHeader  = "X-Server-Stamp"
)

// spoiledAnswers lets a server hand out wrong bytes in some answers. No client may get one of them as a success.
func spoiledAnswers(f *fleet, trouble bool) ([]string, error) {
	return postEntries(f, (*server).converseSpoiled, func(s *server) {
		s.garbling.Store(trouble)
		time.Sleep(garbleTime)
		s.garbling.Store(false)
		time.Sleep(garblePause)
	})
}

// converseSpoiled serves one request after the other on a connection. It spoils some answers, half of them in
// the line of the signature, the others in the body, which it sends with an encoding.
func (s *server) converseSpoiled(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("X-Request-Id")
		head := "X-Request-Id: " + id + "\r\nKeep-Alive: timeout=" + strconv.Itoa(int(idleLimit.Seconds())) + "\r\n"
		if request.Header.Get("X-Expect-Instance") != s.id {
			if _, err := io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n"+head+"\r\n"); err != nil {
				return
			}
			continue
		}
		s.slots <- struct{}{}
		s.record.write("server %s runs %s", s.id, id)
		time.Sleep(s.work)
		<-s.slots
		body := partBody(s.service, request.URL.Path)
		signed := stampHeader + ": " + stamp(id, s.service, s.id) + "\r\n"
		if s.garbling.Load() && rand.Float64() < spoiledShare {
			if rand.IntN(2) == 0 {
				s.record.write("server %s spoils the line of the signature in its answer to %s", s.id, id)
				signed = strings.Replace(signed, stampHeader, strings.Repeat("x", len(stampHeader)), 1)
			} else {
				s.record.write("server %s encodes the body of its answer to %s", s.id, id)
				body = compress(body)
				signed += "Content-Encoding: gzip\r\n"
			}
		}
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n"+signed+head+"\r\n"+string(body)); err != nil {
			return
		}
	}
}

func compress(body []byte) []byte {
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	// Writes to a bytes.Buffer never return an error.
	_, _ = w.Write(body)
	_ = w.Close()
	return packed.Bytes()
}
