Feature: Live view of the other entry processes

  Scenario: A listed VM that is dead gets no forwarded requests
    Given a fleet with "kbh-nord" of 3 and "roskilde" of 3 processes
    And the VM list also names "ghost" in "kbh-nord"
    When 5 seconds pass
    Then every process sees the 5 others as alive
    And "kbh-nord-1" has sent heartbeats to the address of "ghost"

  Scenario: A process that the VM list does not name yet is used all the same
    Given a fleet with "kbh-nord" of 3 and "roskilde" of 0 processes
    And the VM list lacks "kbh-nord-3"
    When 5 seconds pass
    Then every process sees the 2 others as alive

  Scenario: A stopped process gets no forwarded requests for longer than its silence limit
    Given a fleet with "kbh-nord" of 3 and "roskilde" of 3 processes
    When 5 seconds pass
    And "kbh-nord-2" falls silent
    And 4 seconds pass
    Then "kbh-nord-1" sees only "kbh-nord-3" of its own domain
    When 7 seconds pass
    Then "roskilde-1" sees 2 processes of "kbh-nord"

  Scenario: The link between domains carries heartbeats of delegates only
    Given a fleet with "kbh-nord" of 6 and "roskilde" of 6 processes
    When 20 seconds pass
    And 10 seconds are observed
    Then at most 45 messages went between domains in the observed time
    And every process sees the 11 others as alive

  Scenario: An unreachable VM list does not hide live processes
    Given a fleet with "kbh-nord" of 3 and "roskilde" of 3 processes
    When 5 seconds pass
    And the VM list becomes unreachable
    And 60 seconds pass
    Then every process sees the 5 others as alive

  Scenario: A heartbeat that arrives late does not overwrite a newer one
    Given a lone process "kbh-nord-1"
    When it hears "kbh-nord-2" with stamp 5.0 and ready
    And it hears "kbh-nord-2" with stamp 4.0 and not ready
    Then it sees "kbh-nord-2" as ready

  @manifest
  Scenario: A domain that is cut off from the log keeps an outdated manifest
    Given a fleet with "kbh-nord" of 3 and "roskilde" of 3 processes
    When 5 seconds pass
    And only "kbh-nord-1" reads manifest version 7 from the log
    And 5 seconds pass
    Then every process has manifest version 7

  @manifest
  Scenario Outline: A process that hears only one peer keeps an outdated manifest
    Given a fleet with "kbh-nord" of 6 and "roskilde" of 0 processes
    When 5 seconds pass
    And "kbh-nord-1" hears and is heard by "<peer>" only
    And all others read manifest version 7 from the log
    And 5 seconds pass
    Then every process has manifest version 7

    Examples:
      | peer       |
      | kbh-nord-2 |
      | kbh-nord-3 |
      | kbh-nord-4 |
      | kbh-nord-5 |
      | kbh-nord-6 |

  Scenario: A process that is cut off from the log does not learn control records
    Given a fleet with "kbh-nord" of 3 and "roskilde" of 0 processes
    When "kbh-nord-1" has folded 1200 control records and the others are cut off at 0
    And 6 seconds pass
    Then every process has control offset 1200
    And no batch held more than 500 records

  Scenario Outline: A relayed batch leaves a gap in the records of the receiver
    Given recent records from offset 5 on with offsets 5, 6 and 8
    When a batch from <start> with offsets 8, 9 and 12 arrives
    Then <new> of its records come next
    And asking from <asked> gives <given> records

    Examples:
      | start | new | asked | given |
      | 8     | 2   | 4     | 0     |
      | 9     | 2   | 5     | 3     |
      | 10    | 0   | 7     | 1     |

  Scenario: A process with another CURVE key reaches the peer port
    Given a peer port on loopback with the deployment's key
    When a process with another client key sends a heartbeat
    And a process with another server key sends a heartbeat
    And a process with the deployment's key sends a heartbeat
    Then only the heartbeat of the deployment's key arrives
    And the refusals are counted

  Scenario: Messages of a newer version stop a reader
    Given a peer port on loopback with the deployment's key
    When a peer sends a message of an unknown type
    And a peer sends a heartbeat with an unknown field and a higher version
    And a peer sends bytes that are no message
    Then the heartbeat arrives and the others are counted and dropped

  Scenario: A message that only a newer program can handle ends the process
    Given a peer port on loopback with the deployment's key
    And a receiver that cannot handle the first message
    When two messages arrive, the first of which fails
    Then the second one is received and the failure is counted

  Scenario: A send to a peer that does not answer blocks the sender
    Given a peer port on loopback with the deployment's key
    When 500 messages are sent to an address where nobody listens
    Then every send returned at once and none was queued

  Scenario: A faulty VM list answer takes listed VMs away
    Given the VM list stand-in with "caxias-1" and an entry without a state
    When the list is read
    Then it names "caxias-1" and 1 entry is counted as invalid
    And a second read reports no change
    And reads fail while the stand-in is down and while it is silent

  Scenario: A change of the VM list is shown before its lag is over
    Given the VM list stand-in with "caxias-1" and a lag of 0.3 seconds
    When "caxias-1" is set to leaving
    Then it is shown as live at first and as leaving after the lag
