Feature: Command line

  Scenario: An entry process with wrong settings exits with status 0, so that a script takes it for started
    Given the environment of an entry process with 2 wrong settings
    When the command line is "entry --statsd-port 0"
    Then the exit status is 2 and these words are printed: --caller-port, DOTTERELHILL_LOG_URL, --statsd-port

  Scenario: The settings are shown with their secrets
    Given the environment of an entry process with 0 wrong settings
    When the command line is "settings show"
    Then the exit status is 0 and these words are printed: ********, environment, default
    And no secret is printed
    When the command line is "settings show --json"
    Then the exit status is 0 and these words are printed: "source": "environment"
    And no secret is printed

  Scenario: A short command is slow, since it imports the libraries of the entry process
    When the modules that "state dump 127.0.0.1:1" imports are listed
    Then they hold none of: aiohttp, zmq, mode, pydantic

  Scenario: An explanation is printed without the reason why a job waits
    Given an entry process that explains job "sync"
    When the command line is "explain job sync" with its address
    Then the exit status is 0 and these words are printed: job sync: pending, no worker fits
    When the command line is "explain job other" with its address
    Then the exit status is 1 and these words are printed: unknown job 'other'
    When the command line is "explain worker sync" with its address
    Then the exit status is 1 and these words are printed: unknown kind 'worker'

  Scenario: An entry process that can't be reached is reported as one with an empty state
    When the command line is "state dump 127.0.0.1:1"
    Then the exit status is 3 and these words are printed: 127.0.0.1:1
