// Package plugins assembles the default plugins of the scheduler.
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

// SlowdownLimit is the logarithm of the highest predicted slowdown that batch tasks
// may cause to an urgent task: 12%, the slowdown below which the controller in package
// interference steps back down.
const SlowdownLimit = 0.113

// Default returns the plugins of a scheduler that uses the learned interference
// model. After the model has changed, call Reset of the returned interference plugin
// and then Invalidate of the scheduler.
func Default(model interference.Model) (scheduler.Plugins, *interference.Plugin) {
	inter := interference.New(model, SlowdownLimit)
	sp := spread.New()
	return scheduler.Plugins{
		Filters:  []scheduler.Filter{quarantine.Plugin{}, capacity.Plugin{}, accelerators.Plugin{}, inter},
		Scores:   []scheduler.Score{inter, fragmentation.Plugin{}, accelerators.Plugin{}, sp, retried.Plugin{}},
		Reserves: []scheduler.Reserve{capacity.Plugin{}, sp},
	}, inter
}
