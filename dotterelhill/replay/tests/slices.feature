Feature: Replay of the registered slices

  Scenario: A replay of the holder's decisions differs from the recording
    Given a recorded execution slice that started a task, lost an answer and finished the task
    When the recorded slice is replayed
    Then it produces the recorded actions and satisfies all outcomes

  @domain-out
  Scenario: A replay does not detect a start in a failure domain that is out
    Given a recorded execution slice that started a task, lost an answer and finished the task
    When the recorded slice is replayed by a decision class that ignores failure domains
    Then outcome start-in-domain is first violated by the event that causes the start

  Scenario: A replay of heartbeats with unknown evidence ages differs from the recording
    Given a recorded membership slice that received a heartbeat of a peer without evidence
    When the recorded slice is replayed
    Then it produces the recorded actions and satisfies all outcomes

  Scenario: A method call that changes the state is missing from the trace
    Given a recorded holdings slice that promised a silent peer not to take over
    When the recorded slice is replayed
    Then it produces the recorded actions and satisfies all outcomes

  Scenario: A replay does not detect a broken promise
    Given a recorded holdings slice that promised a silent peer not to take over
    When the recorded slice is replayed by a decision class that forgets promises
    Then outcome keep-promises is first violated at 9.1 s
