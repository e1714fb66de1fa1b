Feature: Requests of callers through an entry
  An entry routes each request of a caller to an endpoint and answers it once.

  Background:
    Given a platform, an engine, an order desk and 2 entries

  Scenario: A streamed answer arrives complete and unchanged
    When a caller asks for 20 tokens as a stream
    Then the caller receives exactly the bytes of the engine's answer

  Scenario: A booking that is sent twice with the same idempotency key runs once
    When a caller books "room 12" with key "b-1" at entry 1
    And the outcome of key "b-1" is "completed"
    And a caller books "room 12" with key "b-1" at entry 2
    Then both answers are the same
    And "room 12" was booked 1 time

  Scenario: An idempotency key that is reused for another booking is rejected
    When a caller books "room 12" with key "b-1" at entry 1
    And a caller books "room 13" with key "b-1" at entry 2
    Then the last request is rejected as "not_run" with status 422
    And "room 13" was booked 0 times

  Scenario: A request with an unknown credential is rejected
    When a caller asks for 20 tokens with a wrong credential
    Then the last request is rejected as "not_run" with status 401

  Scenario: A booking is rejected while its only endpoint is draining
    When the order desk is drained
    And a caller books "room 14" with key "b-2" at entry 1
    Then the last request is rejected as "not_run" with status 503
    And "room 14" was booked 0 times
