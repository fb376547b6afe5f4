package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"skylarkdeal/internal/localfleet"
)

// usage is what this process has used so far.
type usage struct {
	at  time.Time
	cpu time.Duration
	// written and writes count what the process has written to all its
	// connections. With both ends of each connection in this process, every byte
	// between the parts of the fleet counts once.
	written float64
	writes  float64
}

func readUsage() (usage, error) {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return usage{}, err
	}
	b, err := os.ReadFile("/proc/self/io")
	if err != nil {
		return usage{}, err
	}
	u := usage{at: time.Now(), cpu: time.Duration(r.Utime.Nano() + r.Stime.Nano())}
	_, err = fmt.Sscanf(string(b), "rchar: %d\nwchar: %g\nsyscr: %d\nsyscw: %g",
		new(int), &u.written, new(int), &u.writes)
	return u, err
}

// memory returns what heap and stacks use, garbage left out.
func memory() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// counters sums the counters of all hosts, by metric and, but for those of one
// service, by labels, and adds the calls of the store by kind.
func counters(ctx context.Context, f *localfleet.Fleet) (map[string]float64, error) {
	sum := map[string]float64{}
	for _, h := range f.Hosts {
		b, err := get(ctx, "http://"+h.OperatorAddr()+"/metrics")
		if err != nil {
			return nil, err
		}
		addCounters(sum, b)
	}
	for k, n := range f.Store.Calls() {
		sum["store "+string(k)] = float64(n)
	}
	return sum, nil
}

func get(ctx context.Context, url string) ([]byte, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return nil, err
	}
	defer a.Body.Close()
	return io.ReadAll(a.Body)
}

func addCounters(sum map[string]float64, text []byte) {
	s := bufio.NewScanner(bytes.NewReader(text))
	for s.Scan() {
		name, value, ok := strings.Cut(s.Text(), " ")
		if !ok || !strings.HasPrefix(name, "skylarkdeal_") || !strings.Contains(name, "_total") {
			continue
		}
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			if family, _, _ := strings.Cut(name, "{"); strings.Contains(name, "service=") {
				name = family
			}
			sum[strings.TrimPrefix(name, "skylarkdeal_")] += v
		}
	}
}

// rates returns what was counted between a and b, a second.
func rates(a, b map[string]float64, d time.Duration) map[string]float64 {
	out := map[string]float64{}
	for n := range maps.Keys(b) {
		if v := b[n] - a[n]; v > 0 {
			out[n] = v / d.Seconds()
		}
	}
	return out
}
