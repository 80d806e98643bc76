package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rs/zerolog"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/ctl/standin"
)

// targetCommand runs a stand-in target. SIGTERM or SIGINT makes it leave gracefully; a second
// signal ends it at once.
type targetCommand struct {
	id, zone, rack, pool string
	config               standin.Config
}

func addTarget(app *kingpin.Application, client *gatewayClient) {
	c := &targetCommand{}
	cmd := app.Command("target", "Runs a stand-in target for local runs and tests.")
	cmd.Action(func(*kingpin.ParseContext) error {
		c.config.Gateways = client.gateways
		return c.run()
	})
	cmd.Flag("id", "Target id.").Required().StringVar(&c.id)
	cmd.Flag("listen", "Address on which the target listens, ip:port.").Default("127.0.0.1:0").StringVar(&c.config.Listen)
	cmd.Flag("zone", "Availability zone.").StringVar(&c.zone)
	cmd.Flag("rack", "Rack.").StringVar(&c.rack)
	cmd.Flag("pool", "Pool to which the target belongs.").Required().StringVar(&c.pool)
	capacity := &c.config.Capacity
	cmd.Flag("slots", "Number of slots.").Default("8").Int32Var(&capacity.Slots)
	cmd.Flag("connections", "Maximum number of connections.").Default("64").Int32Var(&capacity.Connections)
	cmd.Flag("cpu-millis", "CPU capacity in thousandths of a core.").Default("16000").Int64Var(&capacity.CPUMillis)
	cmd.Flag("memory-mib", "Memory in MiB.").Default("61440").Int64Var(&capacity.MemoryMiB)
	cmd.Flag("accelerators", "Number of accelerators.").Default("0").Int32Var(&capacity.Accelerators)
	cmd.Flag("service-time", "Service time of one quick request.").Default("5ms").DurationVar(&c.config.ServiceTime)
	cmd.Flag("usage-lag", "Minimum age of a usage report when it is sent.").Default("2s").DurationVar(&c.config.UsageLag)
}

func (c *targetCommand) run() error {
	c.config.ID = model.TargetID(c.id)
	c.config.Zone = model.Zone(c.zone)
	c.config.Rack = model.Rack(c.rack)
	c.config.Pool = model.PoolID(c.pool)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	log := zerolog.New(os.Stderr).With().Timestamp().Str("target", c.id).Logger()
	target, err := standin.Start(c.config, log)
	if err != nil {
		return err
	}
	log.Info().Str("address", target.Address()).Str("start_id", target.StartID()).Msg("target is listening")
	<-signals
	log.Info().Msg("target is leaving")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	return target.Leave(ctx)
}
