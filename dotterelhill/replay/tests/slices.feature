Feature: Replay of the real slices

  Scenario: A trace of the holder's decisions would not be replayed as it was
    Given a recorded execution slice that started a task, lost an answer and finished the task
    When the real trace is replayed
    Then it gives the recorded actions and keeps all outcomes

  @domain-out
  Scenario: A start in a failure domain that is out would not be found in a trace
    Given a recorded execution slice that started a task, lost an answer and finished the task
    When the real trace is replayed by a decision class that ignores failure domains
    Then outcome start-in-domain breaks first at the event that gives the start

  Scenario: A trace of heartbeats with unknown ages would not be replayed as it was
    Given a recorded membership slice that heard a peer without evidence
    When the real trace is replayed
    Then it gives the recorded actions and keeps all outcomes

  Scenario: A call that changes the state would be missing from the trace
    Given a recorded holdings slice that promised a silent peer not to take over
    When the real trace is replayed
    Then it gives the recorded actions and keeps all outcomes

  Scenario: A broken promise would not be found in a trace
    Given a recorded holdings slice that promised a silent peer not to take over
    When the real trace is replayed by a decision class that forgets promises
    Then outcome keep-promises breaks first at 9.1 s
