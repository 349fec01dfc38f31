package org.wigeonstage.routing;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Highest-random-weight hashing: every process ranks the same names in the same order for a key.
 */
public final class RendezvousHash {

  private static final long MIX_1 = 0xbf58476d1ce4e5b9L;
  private static final long MIX_2 = 0x94d049bb133111ebL;

  private RendezvousHash() {}

  /**
   * Returns the hash of a text.
   *
   * @param text the text
   * @return 64 bits that depend on the text alone
   */
  public static long hash(String text) {
    return Hashing.farmHashFingerprint64().hashString(text, StandardCharsets.UTF_8).asLong();
  }

  /**
   * Returns the weight of a name for a key.
   *
   * @param keyHash the key's hash
   * @param nameHash the name's hash
   * @return the weight; the name with the greatest one is the key's first choice
   */
  public static long weight(long keyHash, long nameHash) {
    long mixed = keyHash ^ Long.rotateLeft(nameHash, 32);
    mixed = (mixed ^ (mixed >>> 30)) * MIX_1;
    mixed = (mixed ^ (mixed >>> 27)) * MIX_2;
    return (mixed ^ (mixed >>> 31)) & Long.MAX_VALUE;
  }

  /**
   * Returns a key's first choice.
   *
   * @param key the key
   * @param names the names to choose from
   * @return the name with the greatest weight, or empty where there are no names
   */
  public static Optional<String> firstChoice(String key, Collection<String> names) {
    long keyHash = hash(key);
    return names.stream()
        .max(
            Comparator.comparingLong((String name) -> weight(keyHash, hash(name)))
                .thenComparing(Comparator.naturalOrder()));
  }
}
