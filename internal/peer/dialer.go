package peer

import "context"

// Sender sends frames to one peer. *Conn implements it; values can be compared.
type Sender interface {
	Send(f Frame) error
}

// Dialer gives connections to peers. Tests use their own links in its place.
type Dialer interface {
	// Connection returns the existing connection to address, or nil.
	Connection(address string) Sender
	// Dial returns the connection to address, making it if needed.
	Dial(ctx context.Context, address string) (Sender, error)
}

// Dialer returns n as a Dialer.
func (n *Node) Dialer() Dialer { return nodeDialer{n} }

type nodeDialer struct{ node *Node }

// Connection returns an untyped nil if there is none, so that callers can
// compare the result with nil.
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
