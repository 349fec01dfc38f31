package org.wigeonstage.standin;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A cache of an engine's prompt blocks that evicts the least recently used. A block is {@value
 * #BLOCK_TOKENS} tokens of a prompt, and is identified by a hash of itself and all blocks before
 * it. Tokens after the last full block are not cached. Not safe for use by several threads.
 */
final class PrefixCache {

  static final int CHARACTERS_PER_TOKEN = 4;
  static final int BLOCK_TOKENS = 64;
  private static final int BLOCK_CHARACTERS = BLOCK_TOKENS * CHARACTERS_PER_TOKEN;

  /** Is notified of blocks that are added to the cache. */
  @FunctionalInterface
  interface Listener {
    void onStored(long block);
  }

  private final LinkedHashMap<Long, Boolean> blocks;
  private final Listener listener;

  PrefixCache(int capacity, Listener listener) {
    this.listener = listener;
    this.blocks =
        new LinkedHashMap<>(16, 0.75f, true) {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
            return size() > capacity;
          }
        };
  }

  /** Adds all blocks of a prompt; returns how many tokens at its start were cached before. */
  int storePrompt(String prompt) {
    int cachedBlocks = 0;
    boolean hit = true;
    long prefixHash = 0;
    for (int end = BLOCK_CHARACTERS; end <= prompt.length(); end += BLOCK_CHARACTERS) {
      String block = prompt.substring(end - BLOCK_CHARACTERS, end);
      prefixHash =
          31 * prefixHash
              + Hashing.farmHashFingerprint64().hashString(block, StandardCharsets.UTF_8).asLong();
      hit &= blocks.get(prefixHash) != null;
      if (blocks.put(prefixHash, true) == null) {
        listener.onStored(prefixHash);
      }
      if (hit) {
        cachedBlocks++;
      }
    }
    return cachedBlocks * BLOCK_TOKENS;
  }
}
