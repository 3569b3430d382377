Feature: Recording and replay of decision events

  Scenario: A replay produces other actions than the recorded process
    Given a recorded slice that held and released for 5 events
    When the trace is replayed
    Then the replay produces the recorded actions
    And all outcomes are kept

  Scenario: A violated outcome is not attributed to the event that violated it
    Given a recorded slice whose third event adds a second holder
    When the trace is replayed
    Then outcome single-holder is first violated by event 3
    And the report names the event and its time

  Scenario: An outcome that was not requested fails the replay
    Given a recorded slice whose third event adds a second holder
    When the trace is replayed for outcomes few-actions
    Then all outcomes are kept

  Scenario: A misspelled outcome is reported as kept
    Given a recorded slice that held and released for 5 events
    When the trace is replayed for outcomes singel-holder
    Then the replay fails with an error that names "single-holder"

  Scenario: A trace of a later format version is misread
    Given a trace with the header {"trace": 2, "form": "new"}
    When the trace is replayed
    Then the replay fails with an error that names "unknown trace version 2"

  Scenario: A trace grows until it exhausts the memory of the VM
    Given a recorder limited to 400 bytes
    When 20 events are recorded
    Then the file has at most 400 bytes and the other events are counted as dropped
    And the decision object received all 20 events
    When the trace is replayed
    Then the report says that the recording reached its size limit

  Scenario: A process that is killed during a write leaves a trace that can't be read
    Given a recorded slice that held and released for 5 events
    And the last 4 bytes of the trace are missing
    When the trace is replayed
    Then the report says that the last line was incomplete and 4 events were replayed

  Scenario: An error in writing the trace stops the decisions
    Given a recorder whose file can't be written
    When 3 events are recorded
    Then the decision object received all 3 events

  Scenario: Infinite times are replayed as other values
    Given a recorded slice whose event has the time minus infinity
    When the trace is replayed
    Then the replayed event has the time minus infinity

  Scenario: A trace whose times decrease is replayed without an error
    Given a recorded slice whose times decrease
    When the trace is replayed
    Then the replay fails with an error that names "event 2: time 1 is before 2"

  Scenario: A script can't detect a violated outcome by the exit status
    Given a recorded slice whose third event adds a second holder
    When the command "replay" runs on the trace
    Then it ends with status 1 and prints "first at event 3"
    When the command "replay" runs on the trace for outcome few-actions
    Then it ends with status 0 and prints "kept    few-actions"
    Given a trace with the header {"trace": 2}
    When the command "replay" runs on the trace
    Then it ends with status 2 and prints "unknown trace version 2"
