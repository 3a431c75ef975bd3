# Tests listed in KNOWN-RED.txt are printed and passed over; see that file.
KNOWN_RED := $(shell sed -n 's/^\(Test[A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt | paste -sd '|' -)

.PHONY: test lint generate

test:
	@sed -n 's/^Test/KNOWN-RED: Test/p' KNOWN-RED.txt
	go test -count=1 -p 4 -timeout 25m $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$',) ./...

lint:
	@test -z "$$(gofmt -l $$(git ls-files '*.go') | tee /dev/stderr)"
	go vet ./...
	go tool staticcheck ./...

# Needs buf, protoc-gen-go and protoc-gen-connect-go; the output is committed.
generate:
	buf generate

# Prints the measured inputs of docs/CAPACITY.md.
.PHONY: capacity
capacity:
	go test ./integration -run '^$$' -bench 'ControlCost|ChangeOfPrimary' -benchtime=1x -timeout 30m
	go test ./control ./consensus ./exchange ./wal -run '^$$' -bench . -benchtime=200x -timeout 30m
	go test ./caller/pgcaller -run Memory -v -count=1

# Plays the model of the served systems and writes its table and plot.
.PHONY: experiment
experiment:
	go test ./proxy -count=1 -run TestExperiment -v -args -experiment.out=$(CURDIR)/docs/notes

# Plays quick scores of the regression sites with the users' bench. KIT is the folder
# that holds their site files, BENCH the program. No other target needs them.
REGRESSION_SITES := further/kistenbund.toml further-grown/kistenbund-grown.toml large/tahimik-pool-large.toml
.PHONY: regression
regression:
	@test -n "$(KIT)" -a -n "$(BENCH)" || { echo "set KIT and BENCH"; exit 1; }
	for site in $(REGRESSION_SITES); do $(BENCH) score $(KIT)/$$site --quick --jobs $$(( ($$(nproc) + 1) / 2 )) --why "regression run" || exit 1; done
