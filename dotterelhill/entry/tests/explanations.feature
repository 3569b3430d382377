Feature: Explanations from the ledger

  Background:
    Given a ledger with workers w1 in domain caxias and w2 in domain gramado, which is out

  Scenario: An operator would not learn that a job waits for capacity
    Given job sync has 2 tasks of 6 processors, of which one runs on w1
    When job sync is explained
    Then it is "1 pending, 1 running"
    And a reason is "1 of 2 workers are without enough free capacity"
    And a reason is "1 of 2 workers are in a failure domain that is out"

  Scenario: A job that can never run would look like one that waits
    Given job sync has 2 tasks of 6 processors, of which one runs on w1
    And job sync can never run because "a task needs 64 processors"
    When job sync@1/1 is explained
    Then it is "pending"
    And a reason is "it can never run: a task needs 64 processors"

  Scenario: A quota would hold a job back without being named
    Given job sync has 2 tasks of 9 processors, of which one runs on w1
    When job sync is explained
    Then a reason is "the quota of team t is used up: 9 processors, 0 GB of 16 processors, 100 GB"

  Scenario: A worker that nobody uses would look healthy
    When worker w2 is explained
    Then it is "idle"
    And a reason is "failure domain gramado is out: nothing starts here"
    And a reason is "no entry process holds it: nothing starts here"

  Scenario: A misspelt job would be explained as if it were there
    When job synk is explained
    Then there is no explanation
