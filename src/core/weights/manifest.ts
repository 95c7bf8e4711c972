/** Checks of the list of digests of a version: whatever sent it, a list that is incomplete would let an engine load other chunks. */

/** Thrown for a list that cannot hold the digests of a version. */
export class InvalidManifestError extends Error {}

/** A SHA-256 in hexadecimal. */
const digestPattern = /^[0-9a-f]{64}$/i

/**
 * The digests of all chunks of a version, as `digestBytes` writes them. `chunkCount` is the number of chunks that the
 * configuration tells, 0 if it tells none. Throws `InvalidManifestError`.
 */
export function checkManifest (digests: unknown, chunkCount: number): readonly string[] {
  if (!Array.isArray(digests)) throw new InvalidManifestError('the manifest has no list of digests')
  if (digests.length === 0) throw new InvalidManifestError('the manifest lists no chunk')
  if (chunkCount > 0 && digests.length !== chunkCount) throw new InvalidManifestError(`the manifest lists ${digests.length} chunks of ${chunkCount}`)
  const invalid = digests.findIndex(digest => typeof digest !== 'string' || !digestPattern.test(digest))
  if (invalid !== -1) throw new InvalidManifestError(`the manifest has no digest of chunk ${invalid}`)
  return (digests as readonly string[]).map(digest => digest.toLowerCase())
}
