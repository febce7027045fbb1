package main

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

const (
	// garbleTime is how long the target garbles.
	garbleTime = 5 * time.Second
	// namelessPause is the time between two requests without an id.
	namelessPause = 2 * time.Millisecond
)

// playNameless lets one client of a daemon read and another one read and book in turn, while one of three
// targets sends some of its responses twice. The requests of the second client bear no id, so that
// targets reject them. They must not be answered with the responses to reads of the first one.
func playNameless(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, 3)
	if err != nil {
		return false, err
	}
	defer f.stop()
	time.Sleep(4 * time.Second) // no disturbance for stableWindowS
	entry := f.vms[0]
	entry.target.garbles.Store(trouble)
	end := time.Now().Add(garbleTime)
	var clients errgroup.Group
	clients.Go(func() error {
		client := newReader()
		for i := 1; time.Now().Before(end); i++ {
			if _, _, err := sendOnce(client, entry, http.MethodGet, fmt.Sprintf("%08x", i)); err != nil {
				rec.note("%08x: %v", i, err)
			}
		}
		return nil
	})
	foreign := 0
	clients.Go(func() error {
		client := newReader()
		statuses := map[string]int{}
		for i := 0; time.Now().Before(end); i++ {
			method := []string{http.MethodGet, http.MethodPost}[i%2]
			status, answered, err := sendOnce(client, entry, method, "")
			statuses[fmt.Sprintf("%s %d", method, status)]++
			switch {
			case err != nil:
				rec.note("a %s without an id: %v", method, err)
			case answered != "":
				foreign++
				rec.note("MIXED: a %s without an id is answered with %d and the response to the read %s", method, status, answered)
			}
			time.Sleep(namelessPause)
		}
		rec.note("statuses of the requests without an id: %v", statuses)
		return nil
	})
	err = clients.Wait()
	return foreign > 0, err
}

// newReader returns a client with one connection.
func newReader() *http.Client {
	return &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxConnsPerHost: 1}}
}

// sendOnce sends a read or a booking and returns the status of its response and the id of the request to
// which the response belongs.
func sendOnce(client *http.Client, entry *vm, method, id string) (status int, answered string, err error) {
	path := map[string]string{http.MethodGet: "/read/one", http.MethodPost: "/book/one"}[method]
	r, err := http.NewRequest(method, "http://"+entry.address(portCallers)+path, http.NoBody)
	if err != nil {
		return 0, "", err
	}
	r.Host = hostName
	r.Header.Set(workHeader, "0")
	r.Header.Set("X-Pollenscale-Deadline-Ms", "2800")
	if id != "" {
		r.Header.Set("X-Pollenscale-Try-Id", id)
	}
	response, err := client.Do(r)
	if err != nil {
		return 0, "", err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Header.Get("X-Pollenscale-Try-Id"), errors.CombineErrors(err, response.Body.Close())
}
