Feature: messages that other programs have damaged

  Each real message is mutated: values of another type, missing or added fields, extreme numbers,
  truncated or flipped bytes. A failure here means that one such message could end a process, or the
  term of each leader in turn.

  Scenario Outline: one malformed message of <source> ends the process that reads it
    When <count> mutations of a message of <source> are decoded
    Then only errors that its reader handles were raised

    Examples:
      | source                 | count |
      | a minion's report      | 400   |
      | a minion's answer      | 200   |
      | a minion's entry       | 400   |
      | the operator           | 400   |
      | a client's job         | 400   |
      | the store's newest     | 300   |
      | the store's records    | 300   |
      | the store's append     | 200   |
      | a peer's status        | 200   |
      | a peer told of a claim | 200   |
      | the leader to a relay  | 200   |
      | a relay to the leader  | 200   |

  Scenario: a task name with thousands of digits ends the process that reads it
    When a task name with 5000 digits is parsed
    Then it names no task

  Scenario: a minion without processors makes each leader's planning divide by zero
    When a minion's entry with 0 processors is decoded
    Then it names a minion with 0 processors
    And a leader plans with its tasks and reports, and starts nothing on it

  Scenario: an entry of a minion that is nested too deeply keeps each leader from reading the list
    When a minion's entry with 100000 nested lists is decoded
    Then it names no minion
