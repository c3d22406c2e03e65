@0xd4b1f2c07a9e3658;
# The protocols between the system's own processes.
#
# Fields of type Data named `...Pack` hold MessagePack of the type of package `domain` that the
# comment names: the same bytes stand in the replicated log and in snapshots, so they are coded once.

interface Login {
  # What every process offers first. The secret is compared in constant time.
  control @0 (secret :Data) -> (control :Control);
  replica @1 (secret :Data) -> (replica :Replica);
  chunks @2 (secret :Data) -> (chunks :Chunks);
}

struct Cursor {
  epoch @0 :UInt64;
  sequence @1 :UInt64;
}

enum Scope {
  entry @0;   # all records
  agent @1;   # VMs without the progress of their holdings
}

struct Batch {
  isSnapshot @0 :Bool;
  cursor @1 :Cursor;
  revision @2 :UInt64;
  ageMs @3 :UInt64;
  deltaPacks @4 :List(Data);   # record::Delta
  commit @5 :UInt64;
  heldMs @6 :UInt64;
}

interface Control {
  # Offered by control to entries and agents.
  poll @0 (cursor :Cursor, scope :Scope, waitMs :UInt32) -> (batch :Batch);
  announce @1 (announcementPack :Data, statusPack :Data) -> ();   # vm::Announcement, vm::Status
  heartbeat @2 (vm :Text, incarnation :UInt64) -> (isKnown :Bool);
  leave @3 (vm :Text, incarnation :UInt64) -> ();
  ledger @4 (writePack :Data) -> (replyPack :Data);   # ledger::Write, ledger::Reply
  quarantine @5 (writePack :Data) -> (replyPack :Data);   # quarantine::Write, quarantine::Reply
}

interface Replica {
  # Offered by control to its other replicas.
  hello @0 () -> (identity :UInt64, group :UInt64, isEmpty :Bool, address :Text);
  step @1 (messagePack :Data) -> ();   # replica::Message
  confirm @2 () -> (term :UInt64, commit :UInt64, ageMs :UInt64);
  forward @3 (commandPack :Data) -> (replyPack :Data);   # command::Command, command::Reply
  vms @4 (cursor :Cursor, waitMs :UInt32) -> (batch :Batch);
  admit @5 (identity :UInt64, address :Text, replaces :UInt64) -> ();   # zero: the voter at the address
}

interface Chunks {
  # Offered by agents to other agents.
  holdings @0 (manifest :Data, knownVersion :UInt64, waitMs :UInt32)
      -> (version :UInt64, bitmap :Data, sentBytes :UInt64, isKnown :Bool);
  fetch @1 (chunk :Data, spareOnly :Bool) -> (result :Fetched);
  manifest @2 (digest :Data) -> (isHeld :Bool, bytes :Data);
}

struct Fetched {
  union {
    bytes @0 :Data;
    notHeld @1 :Void;
    busyMs @2 :UInt32;   # ask again after so many milliseconds
  }
}
