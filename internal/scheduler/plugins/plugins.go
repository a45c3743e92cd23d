// Package plugins assembles the plugins of the scheduler.
package plugins

import (
	"vanillalock.example/vanillalock/internal/scheduler"
	"vanillalock.example/vanillalock/internal/scheduler/plugins/accelerators"
	"vanillalock.example/vanillalock/internal/scheduler/plugins/capacity"
	"vanillalock.example/vanillalock/internal/scheduler/plugins/fragmentation"
	"vanillalock.example/vanillalock/internal/scheduler/plugins/interference"
	"vanillalock.example/vanillalock/internal/scheduler/plugins/quarantine"
	"vanillalock.example/vanillalock/internal/scheduler/plugins/retried"
	"vanillalock.example/vanillalock/internal/scheduler/plugins/spread"
)

// SlowdownLimit is the logarithm of the highest predicted slowdown of an urgent
// task that batch tasks may cause: 12%, the level below which package interference
// takes its reaction back.
const SlowdownLimit = 0.113

// Default returns the plugins of a scheduler that uses the learned model. Call
// Reset of the second result, and then Invalidate of the scheduler, after the
// model has changed.
func Default(model interference.Model) (scheduler.Plugins, *interference.Plugin) {
	inter := interference.New(model, SlowdownLimit)
	sp := spread.New()
	return scheduler.Plugins{
		Filters:  []scheduler.Filter{quarantine.Plugin{}, capacity.Plugin{}, accelerators.Plugin{}, inter},
		Scores:   []scheduler.Score{inter, fragmentation.Plugin{}, accelerators.Plugin{}, sp, retried.Plugin{}},
		Reserves: []scheduler.Reserve{capacity.Plugin{}, sp},
	}, inter
}
