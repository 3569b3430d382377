Feature: Explanations from the ledger

  Background:
    Given a ledger with workers w1 in domain caxias and w2 in domain gramado, which is out

  Scenario: The explanation of a job that waits for capacity does not say so
    Given job sync has 2 tasks of 6 processors, of which one runs on w1
    When job sync is explained
    Then it is "1 pending, 1 running"
    And a reason is "1 of 2 workers are without enough free capacity"
    And a reason is "1 of 2 workers are in a failure domain that is out"

  Scenario: A job that can never run is explained as one that waits for capacity
    Given job sync has 2 tasks of 6 processors, of which one runs on w1
    And job sync can never run because "a task needs 64 processors"
    When job sync@1/1 is explained
    Then it is "pending"
    And a reason is "it can never run: a task needs 64 processors"

  Scenario: The explanation of a job that waits for its team's quota does not name the quota
    Given job sync has 2 tasks of 9 processors, of which one runs on w1
    When job sync is explained
    Then a reason is "the quota of team t is used up: 9 processors, 0 GB of 16 processors, 100 GB"

  Scenario: The explanation of a worker that no process may use does not say why it is idle
    When worker w2 is explained
    Then it is "idle"
    And a reason is "failure domain gramado is out: nothing starts here"
    And a reason is "no entry process holds it: nothing starts here"

  Scenario: A job that does not exist is explained, so that a misspelt name goes unnoticed
    When job synk is explained
    Then there is no explanation
