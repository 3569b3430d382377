Feature: Program errors inside an entry process

  Scenario: A process whose batch slice has crashed keeps answering health checks
    Given an entry process whose batch slice raises an error after its start
    When it runs for at most 20 s
    Then it has ended with exit status 5

  Scenario: A gauge with a wrong name crashes the metrics service and ends the process
    Given metrics with a gauge that is not in the table
    When they are flushed by their service twice
    Then the service has not crashed and the error was logged once
