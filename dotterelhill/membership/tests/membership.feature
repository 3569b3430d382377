Feature: Membership tracks the live entry processes and relays data between them

  Scenario: A dead VM counts as alive because the VM list still names it
    Given a fleet with "kbh-nord" of 3 and "roskilde" of 3 processes
    And the VM list also names "ghost" in "kbh-nord"
    When 5 seconds pass
    Then every process sees the 5 others as alive
    And "kbh-nord-1" has sent heartbeats to the address of "ghost"

  Scenario: A live process counts as dead because the VM list does not name it yet
    Given a fleet with "kbh-nord" of 3 and "roskilde" of 0 processes
    And the VM list lacks "kbh-nord-3"
    When 5 seconds pass
    Then every process sees the 2 others as alive

  Scenario: A stopped process counts as alive for longer than its silence limit
    Given a fleet with "kbh-nord" of 3 and "roskilde" of 3 processes
    When 5 seconds pass
    And "kbh-nord-2" stops sending and receiving
    And 4 seconds pass
    Then "kbh-nord-1" sees only "kbh-nord-3" of its own domain
    When 7 seconds pass
    Then "roskilde-1" sees 2 processes of "kbh-nord"

  Scenario: Processes other than the delegates send heartbeats between domains
    Given a fleet with "kbh-nord" of 6 and "roskilde" of 6 processes
    When 20 seconds pass
    And 10 seconds are observed
    Then at most 45 messages were sent between domains in the observed time
    And every process sees the 11 others as alive

  Scenario: Live processes count as dead because the VM list is unreachable
    Given a fleet with "kbh-nord" of 3 and "roskilde" of 3 processes
    When 5 seconds pass
    And the VM list becomes unreachable
    And 60 seconds pass
    Then every process sees the 5 others as alive

  Scenario: A delayed heartbeat overwrites the state from a newer one
    Given a process "kbh-nord-1" without peers
    When it receives a heartbeat of "kbh-nord-2" with stamp 5.0 and ready
    And it receives a heartbeat of "kbh-nord-2" with stamp 4.0 and not ready
    Then it sees "kbh-nord-2" as ready

  @manifest
  Scenario: A domain that is cut off from the log keeps an outdated manifest
    Given a fleet with "kbh-nord" of 3 and "roskilde" of 3 processes
    When 5 seconds pass
    And only "kbh-nord-1" reads manifest version 7 from the log
    And 5 seconds pass
    Then every process has manifest version 7

  @manifest
  Scenario Outline: A process that can exchange messages with only one peer keeps an outdated manifest
    Given a fleet with "kbh-nord" of 6 and "roskilde" of 0 processes
    When 5 seconds pass
    And "kbh-nord-1" can exchange messages with "<peer>" only
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

  Scenario: A process that is cut off from the log misses control records
    Given a fleet with "kbh-nord" of 3 and "roskilde" of 0 processes
    When "kbh-nord-1" has folded 1200 control records and the others are cut off at 0
    And 6 seconds pass
    Then every process has control offset 1200
    And no batch has more than 500 records

  Scenario: The peer port accepts messages from a process with another CURVE key
    Given a peer port on loopback with the deployment's key
    When a process with another client key sends a heartbeat
    And a process with another server key sends a heartbeat
    And a process with the deployment's key sends a heartbeat
    Then only the heartbeat of the deployment's key arrives
    And the refusals are counted

  Scenario: A message of a newer version or an unknown type stops the receiver
    Given a peer port on loopback with the deployment's key
    When a peer sends a message of an unknown type
    And a peer sends a heartbeat with an unknown field and a higher version
    And a peer sends bytes that are not a message
    Then the heartbeat arrives and the others are counted and dropped

  Scenario: A message that only a newer version can handle ends the process
    Given a peer port on loopback with the deployment's key
    And a handler that fails on the first message
    When two messages arrive and the handler fails on the first
    Then the second message is received and the failure is counted

  Scenario: A send to an unreachable peer blocks the sender
    Given a peer port on loopback with the deployment's key
    When 500 messages are sent to an address without a listener
    Then every send returns without blocking and no message is queued

  Scenario: A faulty answer of the VM list removes valid VMs from the view
    Given the VM list stand-in with "caxias-1" and an entry without a state
    When the list is read
    Then it contains "caxias-1" and 1 entry is counted as invalid
    And a second read reports no change
    And reads fail while the stand-in is down and while it does not answer

  Scenario: The VM list stand-in shows a change before its lag has passed
    Given the VM list stand-in with "caxias-1" and a lag of 0.3 seconds
    When the state of "caxias-1" is set to leaving
    Then the list shows it as live at first and as leaving after the lag
