Feature: Recording and replay of decision events

  Scenario: A replay would decide otherwise than the process did
    Given a recorded slice that held and released for 5 events
    When the trace is replayed
    Then the replay gives the recorded actions
    And all outcomes are kept

  Scenario: A broken outcome would not be traced to the event that broke it
    Given a recorded slice whose third event gives a second holder
    When the trace is replayed
    Then outcome single-holder is broken first by event 3
    And the report names the event and its time

  Scenario: An outcome that was not asked for would fail the replay
    Given a recorded slice whose third event gives a second holder
    When the trace is replayed for outcomes few-actions
    Then all outcomes are kept

  Scenario: A misspelt outcome would count as kept
    Given a recorded slice that held and released for 5 events
    When the trace is replayed for outcomes singel-holder
    Then the replay is refused and names "single-holder"

  Scenario: A trace of a later version would be misread
    Given a trace with the header {"trace": 2, "form": "new"}
    When the trace is replayed
    Then the replay is refused and names "unknown trace version 2"

  Scenario: A trace would use up the memory of the node
    Given a recorder bounded to 400 bytes
    When 20 events are recorded
    Then the file has at most 400 bytes and the other events are counted as dropped
    And the decisions saw all 20 events
    When the trace is replayed
    Then the report says that the recording was full

  Scenario: A process killed in the middle of a write would leave an unreadable trace
    Given a recorded slice that held and released for 5 events
    And the last 4 bytes of the trace are missing
    When the trace is replayed
    Then the report says that the last line was torn and 4 events were replayed

  Scenario: A fault of the trace would stop the decisions
    Given a recorder whose file can't be written
    When 3 events are recorded
    Then the decisions saw all 3 events

  Scenario: Infinite times would come back as another value
    Given a recorded slice whose event has the time minus infinity
    When the trace is replayed
    Then the event has the time minus infinity again

  Scenario: A trace that jumps back in time would be replayed as if it were real
    Given a recorded slice whose times go back
    When the trace is replayed
    Then the replay is refused and names "event 2: time 1 is before 2"

  Scenario: A script would take a broken outcome for a kept one
    Given a recorded slice whose third event gives a second holder
    When the command "replay" runs on the trace
    Then it ends with status 1 and prints "first at event 3"
    When the command "replay" runs on the trace for outcome few-actions
    Then it ends with status 0 and prints "kept    few-actions"
    Given a trace with the header {"trace": 2}
    When the command "replay" runs on the trace
    Then it ends with status 2 and prints "unknown trace version 2"
