package peer

import "context"

// Sender sends frames to one peer. *Conn implements it. Senders are comparable
// with ==; two equal ones use the same connection.
type Sender interface {
	Send(f Frame) error
}

// Dialer returns connections to peers. Tests substitute their own
// implementation.
type Dialer interface {
	// Connection returns the existing connection to address, or nil.
	Connection(address string) Sender
	// Dial returns the connection to address and establishes it if needed.
	Dial(ctx context.Context, address string) (Sender, error)
}

// Dialer returns n as a Dialer.
func (n *Node) Dialer() Dialer { return nodeDialer{n} }

// nodeDialer adapts a Node to Dialer.
type nodeDialer struct{ node *Node }

// Connection returns an untyped nil if there is no connection, so that callers
// can compare the result with nil.
func (d nodeDialer) Connection(address string) Sender {
	if c := d.node.Connection(address); c != nil {
		return c
	}
	return nil
}

func (d nodeDialer) Dial(ctx context.Context, address string) (Sender, error) {
	c, err := d.node.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return c, nil
}
