package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"bramleyhold.example/bramleyhold/internal/steering"
)

const (
	// placementTimeout bounds the call to a balancer.
	placementTimeout = 5 * time.Second
	// maxPlacementBytes bounds its response: some thousand upstreams.
	maxPlacementBytes = 1 << 20
)

// PlacementCallError reports a response of a balancer that is no explanation.
type PlacementCallError struct {
	Address netip.AddrPort
	Status  int
	Text    string
}

func (e *PlacementCallError) Error() string {
	return fmt.Sprintf("the balancer at %s responded with status %d: %s", e.Address, e.Status, e.Text)
}

// explainPlacement asks a running balancer where an opening would go now. Nothing is sent
// to an upstream.
func explainPlacement(in *invocationInput) func(*printer) error {
	in.positionalArgs()
	address := in.addressPort("balancer")
	query := url.Values{"virtual": {in.addressPort("virtual").String()}}
	if in.stringValue("caller") != "" {
		query.Set("caller", in.addressPort("caller").String())
	}
	return func(out *printer) error {
		explanation, err := fetchPlacement(address, query)
		if err != nil {
			return err
		}
		return out.print(explanation, func(w io.Writer) { writePlacement(w, explanation) })
	}
}

// addressPort parses a required flag of the form ADDRESS:PORT.
func (in *invocationInput) addressPort(name string) netip.AddrPort {
	address, err := netip.ParseAddrPort(in.stringValue(name))
	if err != nil {
		in.addError(name, "%q: want ADDRESS:PORT", in.stringValue(name))
	}
	return address
}

func fetchPlacement(address netip.AddrPort, query url.Values) (*steering.PlacementExplanation, error) {
	ctx, cancel := context.WithTimeout(context.Background(), placementTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/placement?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("call the balancer at %s: %w", address, err)
	}
	defer func() { _ = response.Body.Close() }() // The body has been read.
	body, err := io.ReadAll(io.LimitReader(response.Body, maxPlacementBytes))
	if err != nil {
		return nil, fmt.Errorf("read the response of the balancer at %s: %w", address, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, &PlacementCallError{Address: address, Status: response.StatusCode, Text: string(body)}
	}
	explanation := &steering.PlacementExplanation{}
	if err := json.Unmarshal(body, explanation); err != nil {
		return nil, fmt.Errorf("decode the response of the balancer at %s: %w", address, err)
	}
	return explanation, nil
}

func writePlacement(w io.Writer, explanation *steering.PlacementExplanation) {
	printLine(w, "%s: route %q, service %q, desired state %d", explanation.Virtual, explanation.Route, explanation.Service, explanation.Version)
	printLine(w, "outcome: %s %s", explanation.Outcome, explanation.Reason)
	rows := [][]string{{"UPSTREAM", "AGENT", "ZONE", "STATUS", "EXCLUDED", "SCORE", "ANSWER", "HEALTH", "IN PROGRESS", "OWN OPENINGS", "SLOTS", "REPORT"}}
	for i := range explanation.Upstreams {
		u := &explanation.Upstreams[i]
		report := "none"
		if u.AgeMillis >= 0 {
			report = strconv.FormatInt(u.AgeMillis, 10) + " ms old"
		}
		rows = append(rows, []string{
			string(u.VM), u.Agent.String(), u.Zone.String(), string(u.Status), u.Exclude, strconv.FormatFloat(u.Score, 'f', 2, 64),
			fmt.Sprintf("%.0f ms", u.AnswerMillis), strconv.FormatFloat(u.Health, 'f', 2, 64),
			strconv.Itoa(u.InProgress), strconv.Itoa(u.OwnOpenings), strconv.Itoa(u.Slots), report,
		})
	}
	printTable(w, rows)
}
