GO ?= go

all: build

build:
	$(GO) build -o skylarkdeal .

test:
	GO=$(GO) script/test

demo: build
	./skylarkdeal demo

bench:
	script/bench

capacity:
	script/capacity

lint:
	golangci-lint run

generate:
	script/generate

clean:
	rm -f skylarkdeal

.PHONY: all build test demo bench capacity lint generate clean
