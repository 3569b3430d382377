Feature: the log adapter tells what happened to an operation

  Background:
    Given a log service over loopback that keeps 3 records

  Scenario: a refused append is taken for one that may have taken effect
    Given the log is in mode "down"
    When "a" is appended
    Then the append failed with a known effect
    And the stream holds ""

  Scenario: an append to a closed port is taken for one that may have taken effect
    Given the log's port is closed
    When "a" is appended
    Then the append failed with a known effect

  Scenario: an append whose answer was lost is taken for a refused one
    Given the log is in mode "lose_answers"
    When "a" is appended
    Then the append failed with an unknown effect
    And the stream holds "a"

  Scenario: a connection that stops responding blocks the adapter for good
    Given the log is in mode "silent"
    When "a" is appended
    Then the append failed with an unknown effect
    And it took less than 2 seconds
    Given the log is in mode "ok"
    When "b" is appended
    Then the stream holds "b"

  Scenario: a slow answer is dropped although it arrives in time
    Given the log is in mode "slow" by 0.1 seconds
    When "a" is appended
    Then the append took offset 1

  Scenario: a long poll waits to its end although a record arrived
    When "a" is appended 0.1 seconds after a long poll from offset 1 began
    Then the long poll returned "a"
    And it took less than 2 seconds

  Scenario: records past retention are skipped without notice
    When "a" is appended
    And "b" is appended
    And "c" is appended
    And "d" is appended
    Then a read from offset 1 reports that the earliest is 2
    And a read from offset 2 returns "b c d"

  Scenario: an undecodable answer ends the reader with an error of the codec
    Given the log's answers are not msgpack
    When "a" is appended
    Then the append failed with an unknown effect
