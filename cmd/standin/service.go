package main

import (
	"context"

	"github.com/integrii/flaggy"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/standin/service"
)

type serviceCommand struct {
	upstream
	serves string
	slots  int
}

func newServiceCommand() *serviceCommand {
	return &serviceCommand{upstream: newUpstream()}
}

func (v *serviceCommand) flags() *flaggy.Subcommand {
	s := flaggy.NewSubcommand("service")
	s.Description = "Runs a plain service."
	v.bindFlags(s)
	s.String(&v.serves, "s", "serves", "Service that it serves.")
	s.Int(&v.slots, "", "slots", "Calls that the load report says may run at once (default 64).")
	return s
}

func (v *serviceCommand) run(ctx context.Context) error {
	l, err := listen(ctx, v.listen)
	if err != nil {
		return err
	}
	s := service.New(service.Settings{Slots: v.slots})
	return v.serve(ctx, l, s, v.registrar(v.instance(rail.RoleService, v.serves, l), s))
}
