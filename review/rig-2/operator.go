//go:build review

package main

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"
)

// operatorTimeout is how long the operator waits for a response before it moves on to another node.
const operatorTimeout = time.Second

// call sends one request and returns the status. It closes the connection.
func call(timeout time.Duration, method, url, body string, headers map[string]string) (int, http.Header, []byte, error) {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	for name, value := range headers {
		if name == "Host" {
			request.Host = value
			continue
		}
		request.Header.Set(name, value)
	}
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, nil, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, content, err
}

// order sends an order of the operator to the addresses in turn until one acknowledges it.
func (f *fleet) order(method, path, body string, addresses []string) (time.Time, error) {
	for range 60 {
		for _, a := range addresses {
			f.record.printf("operator sends %s %s to %s", method, path, a)
			status, _, _, err := call(operatorTimeout, method, "http://"+a+path, body, nil)
			if err != nil {
				f.record.printf("operator gets no response from %s", a)
				continue
			}
			f.record.printf("operator gets %d from %s", status, a)
			if status == http.StatusOK {
				return time.Now(), nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Time{}, errors.New("an order was not acknowledged")
}
