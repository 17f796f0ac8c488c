package org.oleanderstep.core.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TokenBucketTest {

  private static final long SECOND = 1_000_000_000L;

  private static int takeAll(TokenBucket bucket, long now) {
    int taken = 0;
    while (bucket.tryTake(now)) {
      taken++;
    }
    return taken;
  }

  // The origin of a monotonic clock is arbitrary, and it may wrap.
  @ParameterizedTest
  @ValueSource(longs = {0, -5 * SECOND, Long.MAX_VALUE - SECOND / 2, Long.MIN_VALUE + 3})
  void should_accrue_at_its_rate_up_to_its_cap_from_any_origin(long origin) {
    TokenBucket bucket = TokenBucket.of(10, 5, 0, origin);
    assertThat(bucket.tryTake(origin)).isFalse();
    assertThat(takeAll(bucket, origin + SECOND / 4)).isEqualTo(2);
    assertThat(takeAll(bucket, origin + 100 * SECOND)).isEqualTo(5);
  }

  @Test
  void should_accrue_less_than_one_token_a_second() {
    TokenBucket bucket = TokenBucket.of(0.01, 2, 0, 0);
    assertThat(bucket.tryTake(99 * SECOND)).isFalse();
    assertThat(bucket.tryTake(100 * SECOND)).isTrue();
    assertThat(bucket.tryTake(101 * SECOND)).isFalse();
  }

  // A bucket of 2.5 tokens grants two and keeps the half.
  @Test
  void should_keep_fractions_of_tokens() {
    TokenBucket bucket = TokenBucket.of(1, 2.5, 2.5, 0);
    assertThat(takeAll(bucket, 0)).isEqualTo(2);
    assertThat(bucket.tokens(0)).isWithin(1e-9).of(0.5);
    assertThat(takeAll(bucket, SECOND / 2)).isEqualTo(1);
  }

  @Test
  void should_never_hold_a_token_when_closed() {
    TokenBucket bucket = TokenBucket.closed(0);
    assertThat(bucket.tryTake(1_000_000 * SECOND)).isFalse();
    bucket.add(5, 0);
    assertThat(bucket.tryTake(0)).isFalse();
  }

  @Test
  void should_hold_no_more_than_its_cap_when_tokens_are_added() {
    TokenBucket bucket = TokenBucket.of(1, 3, 2, 0);
    bucket.add(10, 0);
    assertThat(takeAll(bucket, 0)).isEqualTo(3);
  }

  // Tokens dropped by a lower cap must not reappear with a higher one.
  @Test
  void should_not_restore_dropped_tokens_when_the_cap_rises() {
    TokenBucket bucket = TokenBucket.of(1, 10, 10, 0);
    bucket.setCap(4, 0);
    bucket.setCap(10, 0);
    assertThat(takeAll(bucket, 0)).isEqualTo(4);
  }

  @Test
  void should_not_restore_tokens_that_overflowed_before_the_cap_rose() {
    TokenBucket bucket = TokenBucket.of(1, 2, 0, 0);
    bucket.setCap(10, 100 * SECOND);
    assertThat(takeAll(bucket, 100 * SECOND)).isEqualTo(2);
  }

  @Test
  void should_give_nothing_once_sealed() {
    TokenBucket bucket = TokenBucket.of(1, 10, 10, 0);
    assertThat(bucket.seal(0)).isWithin(1e-9).of(10);
    assertThat(bucket.tryTake(SECOND)).isFalse();
    assertThat(bucket.tryTake(0.5, SECOND)).isFalse();
    bucket.add(3, SECOND);
    bucket.setCap(20, SECOND);
    assertThat(bucket.seal(SECOND)).isEqualTo(0);
  }

  // Two threads that take the same token would exceed the burst.
  @Test
  void should_hand_each_token_to_one_thread() throws InterruptedException {
    TokenBucket bucket = TokenBucket.of(1, 100_000, 100_000, 0);
    AtomicLong taken = new AtomicLong();
    CountDownLatch start = new CountDownLatch(1);
    Thread[] threads = new Thread[4];
    for (int i = 0; i < threads.length; i++) {
      threads[i] =
          new Thread(
              () -> {
                await(start);
                long own = 0;
                while (bucket.tryTake(0)) {
                  own++;
                }
                taken.addAndGet(own);
              });
      threads[i].start();
    }
    start.countDown();
    double moved = 0;
    for (int i = 0; i < 1_000; i++) {
      moved += bucket.tryTake(1.0, 0) ? 1 : 0;
    }
    for (Thread thread : threads) {
      thread.join();
    }
    assertThat(taken.get() + moved).isEqualTo(100_000);
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      throw new IllegalStateException("interrupted before the start", e);
    }
  }
}
