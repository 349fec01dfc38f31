package org.wigeonstage.routing;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Rendezvous (highest random weight) hashing: every process ranks the same names in the same order
 * for a key.
 */
public final class RendezvousHash {

  /** The multipliers of the mixing function of SplitMix64. */
  private static final long MIX_MULTIPLIER_1 = 0xbf58476d1ce4e5b9L;

  private static final long MIX_MULTIPLIER_2 = 0x94d049bb133111ebL;

  private RendezvousHash() {}

  /**
   * Returns the hash of a text.
   *
   * @param text the text
   * @return 64 bits, the same in every process
   */
  public static long hash(String text) {
    return Hashing.farmHashFingerprint64().hashString(text, StandardCharsets.UTF_8).asLong();
  }

  /**
   * Returns the weight of a name for a key.
   *
   * @param keyHash the hash of the key
   * @param nameHash the hash of the name
   * @return the weight; the name with the highest weight is the first choice for the key
   */
  public static long weight(long keyHash, long nameHash) {
    long mixed = keyHash ^ Long.rotateLeft(nameHash, 32);
    mixed = (mixed ^ (mixed >>> 30)) * MIX_MULTIPLIER_1;
    mixed = (mixed ^ (mixed >>> 27)) * MIX_MULTIPLIER_2;
    return (mixed ^ (mixed >>> 31)) & Long.MAX_VALUE;
  }

  /**
   * Returns the first choice for a key.
   *
   * @param key the key
   * @param names the names to choose from
   * @return the name with the highest weight, or empty if there are no names
   */
  public static Optional<String> firstChoice(String key, Collection<String> names) {
    long keyHash = hash(key);
    return names.stream()
        .max(
            Comparator.comparingLong((String name) -> weight(keyHash, hash(name)))
                .thenComparing(Comparator.naturalOrder()));
  }
}
