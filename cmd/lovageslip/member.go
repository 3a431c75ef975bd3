package main

import (
	"context"
	"fmt"

	lovageslipv1 "lovageslip/gen/lovageslip/v1"
)

type memberCommand struct {
	List   memberListCommand   `cmd:"" help:"List the control hosts."`
	Add    memberAddCommand    `cmd:"" help:"Add a control host. It votes once it has caught up."`
	Remove memberRemoveCommand `cmd:"" help:"Remove a control host, for example one that lost its disk."`
}

type memberListCommand struct {
	controlFlags
}

func (c *memberListCommand) Run(ctx context.Context) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	members, err := client.ListMembers(ctx)
	return c.print(members, err)
}

func (f *controlFlags) print(members *lovageslipv1.MemberResponse, err error) error {
	if err != nil {
		return err
	}
	if f.JSON {
		return printJSON(members)
	}
	w := newTable("HOST", "ADDRESS", "VOTES", "LEADER")
	for _, m := range members.GetMembership().GetMembers() {
		fmt.Fprintf(w, "%s\t%s\t%t\t%t\n", m.GetName(), m.GetAddress(), m.GetVoter(), m.GetName() == members.GetLeader())
	}
	return w.Flush()
}

type memberAddCommand struct {
	controlFlags
	Name    string `arg:"" help:"Name of the control host."`
	Address string `arg:"" help:"Its IP number and port for other hosts."`
}

func (c *memberAddCommand) Run(ctx context.Context) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	members, err := client.AddMember(ctx, c.Name, c.Address)
	return c.print(members, err)
}

type memberRemoveCommand struct {
	controlFlags
	Name string `arg:"" help:"Name of the control host."`
}

func (c *memberRemoveCommand) Run(ctx context.Context) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	members, err := client.RemoveMember(ctx, c.Name)
	return c.print(members, err)
}
