//go:build review2

package main

import (
	"fmt"
	"os"
	"runtime"
	"time"
)

// The ends of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

var scenes = map[string]func(f *fleet, trouble bool) int{}

// The kernel ends the hosts with the thread that has started them, so that this one has to be the main thread.
func init() { runtime.LockOSThread() }

func main() { os.Exit(play()) }

func play() (code int) {
	if len(os.Args) != 3 || scenes[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: scene2 CASE RECORD")
		return couldNot
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer file.Close()
	dir := os.Getenv("SCENE_DIR")
	if dir == "" {
		if dir, err = os.MkdirTemp("", "scene2-"); err != nil {
			return couldNot
		}
		defer os.RemoveAll(dir)
	}
	_ = os.MkdirAll(dir, 0o700)
	f := &fleet{rec: &record{file: file, began: time.Now()}, dir: dir}
	defer func() {
		if x := recover(); x != nil {
			if _, ok := x.(couldNotRun); !ok {
				panic(x)
			}
			code = couldNot
		}
	}()
	defer f.close()
	return scenes[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
}
