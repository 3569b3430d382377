Feature: The HTTP client of the log reports whether an operation took effect

  Background:
    Given a log service over loopback that retains 3 records

  Scenario: An append that the log refused is reported as one that may have taken effect
    Given the log is in mode "down"
    When "a" is appended
    Then the append failed with a known effect
    And the stream holds ""

  Scenario: An append to a closed port is reported as one that may have taken effect
    Given the log's port is closed
    When "a" is appended
    Then the append failed with a known effect

  Scenario: An append whose answer was lost is reported as refused
    Given the log is in mode "lose_answers"
    When "a" is appended
    Then the append failed with an unknown effect
    And the stream holds "a"

  Scenario: A connection that stops responding blocks the client forever
    Given the log is in mode "silent"
    When "a" is appended
    Then the append failed with an unknown effect
    And it took less than 2 seconds
    Given the log is in mode "ok"
    When "b" is appended
    Then the stream holds "b"

  Scenario: A slow answer is discarded although it arrives before the timeout
    Given the log is in mode "slow" by 0.1 seconds
    When "a" is appended
    Then the record was appended at offset 1

  Scenario: A long poll waits for its full duration although a record arrives
    When "a" is appended 0.1 seconds after a long poll from offset 1 began
    Then the long poll returned "a"
    And it took less than 2 seconds

  Scenario: Records that are no longer retained are skipped without an error
    When "a" is appended
    And "b" is appended
    And "c" is appended
    And "d" is appended
    Then a read from offset 1 reports 2 as the earliest offset
    And a read from offset 2 returns "b c d"

  Scenario: An answer that can't be decoded raises an error of the codec
    Given the log's answers are not msgpack
    When "a" is appended
    Then the append failed with an unknown effect
