package rebalance

import (
	"math"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/floats"
)

const (
	topicCount = 6
	// sharedExponent is the Zipf exponent of the preferences that all topics share, topicExponent that of their own ones.
	sharedExponent = 0.4
	topicExponent  = 0.5
	// layerCorrelation is the correlation of a topic's preference scores between neighbouring layers.
	layerCorrelation = 0.6
	// Standard deviations and relaxation times, in windows of a minute, of the drift of topic weights and preferences.
	mixDriftSD        = 0.12
	mixRelaxationMin  = 120.0
	prefDriftSD       = 0.12
	prefRelaxationMin = 360.0
)

// topics holds the expert preferences and the weight of each topic.
type topics struct {
	d        Deployment
	scenario Scenario
	rng      *rand.Rand
	// baseLogWeights holds the logarithm of each topic's weight without drift and daily variation; peakHour is the hour of
	// its daily maximum.
	baseLogWeights, peakHour []float64
	// prefs holds, for each topic, the logarithm of each cell's weight; prefOffset is its drift and is added to it.
	prefs, prefOffset [][]float64
	mixOffset         []float64
	// popularities caches the popularity of each cell for each topic.
	popularities [][]float64
}

func newTopics(d Deployment, sc Scenario, rng *rand.Rand) *topics {
	t := &topics{d: d, scenario: sc, rng: rng, mixOffset: make([]float64, topicCount)}
	shared := t.zipf(sharedExponent)
	for k := range topicCount {
		t.baseLogWeights = append(t.baseLogWeights, 0.3*rng.NormFloat64())
		t.peakHour = append(t.peakHour, 24*rng.Float64())
		prefs := t.zipf(topicExponent)
		floats.Add(prefs, shared)
		t.prefs = append(t.prefs, prefs)
		t.prefOffset = append(t.prefOffset, make([]float64, d.Shape.Cells()))
		t.popularities = append(t.popularities, make([]float64, d.Shape.Cells()))
		t.refreshPopularity(k)
	}
	t.baseLogWeights[topicCount-1] = rareWeight
	return t
}

// zipf returns the logarithm of a Zipf weight for each cell. Normally distributed scores, which are correlated from
// layer to layer, rank the experts of each layer.
func (t *topics) zipf(exponent float64) []float64 {
	n := t.d.Shape.Experts
	scores := make([]float64, n)
	for e := range scores {
		scores[e] = t.rng.NormFloat64()
	}
	out := make([]float64, 0, t.d.Shape.Cells())
	innovation := math.Sqrt(1 - layerCorrelation*layerCorrelation)
	for range t.d.Shape.Layers {
		order := make([]int, n)
		floats.Argsort(slices.Clone(scores), order)
		layer := make([]float64, n)
		for position, e := range order {
			layer[e] = -exponent * math.Log(float64(position+1))
		}
		out = append(out, layer...)
		for e := range scores {
			scores[e] = layerCorrelation*scores[e] + innovation*t.rng.NormFloat64()
		}
	}
	return out
}

// drift advances the drift of the mix and of the preferences by one window.
func (t *topics) drift() {
	for k := range topicCount {
		ornsteinUhlenbeckStep(t.rng, t.mixOffset[k:k+1], mixDriftSD, mixRelaxationMin)
		ornsteinUhlenbeckStep(t.rng, t.prefOffset[k], prefDriftSD, prefRelaxationMin)
		t.refreshPopularity(k)
	}
}

// ornsteinUhlenbeckStep advances values by one step of an Ornstein-Uhlenbeck process with mean 0, standard deviation sd
// and the relaxation time in steps.
func ornsteinUhlenbeckStep(rng *rand.Rand, values []float64, sd, relaxation float64) {
	decay := math.Exp(-1 / relaxation)
	noise := sd * math.Sqrt(1-decay*decay)
	for i := range values {
		values[i] = decay*values[i] + noise*rng.NormFloat64()
	}
}

func (t *topics) refreshPopularity(k int) {
	for c := range t.popularities[k] {
		t.popularities[k][c] = math.Exp(t.prefs[k][c] + t.prefOffset[k][c])
	}
	normalizeLayers(t.d.Shape, t.popularities[k])
}

// baselineLogWeights returns the logarithm of the topics' weights without drift, with the scenario's daily variation.
func (t *topics) baselineLogWeights(hour float64) []float64 {
	logs := slices.Clone(t.baseLogWeights)
	if t.scenario == ScenarioNoise {
		return logs
	}
	for k := range logs {
		logs[k] += t.d.dailySwing * math.Cos(2*math.Pi*(hour-t.peakHour[k])/24)
	}
	if t.scenario == ScenarioDawn {
		peak := peakWeight * dailyPeak(hour, 5, 1)
		logs[0] += peak
		logs[1] += peak
	}
	return logs
}

func (t *topics) baselineMix(hour float64) []float64 { return softmax(t.baselineLogWeights(hour)) }

// logWeights returns the logarithm of the topics' weights with their current drift.
func (t *topics) logWeights(hour float64) []float64 {
	logs := t.baselineLogWeights(hour)
	floats.Add(logs, t.mixOffset)
	return logs
}

// popularity returns the mean of the topics' popularities, weighted by mix; each layer sums to 1.
func (t *topics) popularity(mix []float64) []float64 {
	out := make([]float64, t.d.Shape.Cells())
	for k, share := range mix {
		floats.AddScaled(out, share, t.popularities[k])
	}
	return out
}

func softmax(logs []float64) []float64 {
	out := make([]float64, len(logs))
	for i, v := range logs {
		out[i] = math.Exp(v)
	}
	floats.Scale(1/floats.Sum(out), out)
	return out
}
