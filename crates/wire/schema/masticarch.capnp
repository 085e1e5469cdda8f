@0xd01ff8b7e48d76f6;

# Calls between the processes of masticarch. Payloads are postcard encodings of
# the types in masticarch_wire::message.

interface Member {
  # Served on the member port, after the membership handshake.

  agree @0 (message :Data) -> ();
  # An agreement message from another control process; it has no answer.

  sync @1 (request :Data) -> (reply :Data);
  # Long poll of a node for changes since the version that it holds.

  lease @2 (request :Data) -> (reply :Data);
  # Renews or changes a node's shares of team limits.

  claim @3 (request :Data) -> (reply :Data);
  # Commits or settles a claim on a non-idempotent request.
}

interface Operator {
  # Served on the operator port, after the handshake with an operator credential.

  call @0 (request :Data) -> (reply :Data);
}
