/** Sets of chunk positions, one bit each, small enough to travel in a header. */

/** Set of positions; never changed in place. */
export type Bitmap = Readonly<Uint8Array>

/** The empty set for `total` positions. */
export function emptyBitmap (total: number): Bitmap {
  return new Uint8Array(Math.ceil(total / 8))
}

/** Whether a position is in the set; positions beyond its end are not. */
export function hasBit (bitmap: Bitmap, position: number): boolean {
  return ((bitmap[position >> 3] ?? 0) & (1 << (position & 7))) !== 0
}

/** The set with one more position. */
export function withBit (bitmap: Bitmap, position: number): Bitmap {
  const copy = Uint8Array.from(bitmap)
  copy[position >> 3] = (copy[position >> 3] ?? 0) | (1 << (position & 7))
  return copy
}

/** Positions that are in either set; the length is the first one's. */
export function unionBitmap (left: Bitmap, right: Bitmap): Bitmap {
  return Uint8Array.from(left, (byte, index) => byte | (right[index] ?? 0))
}

/** Whether the first set has a position that the second lacks. */
export function hasBitsOutside (bitmap: Bitmap, other: Bitmap): boolean {
  return bitmap.some((byte, index) => (byte & ~(other[index] ?? 0)) !== 0)
}

/** How many of the first `total` positions are in the set. */
export function countBits (bitmap: Bitmap, total: number): number {
  let count = 0
  for (let position = 0; position < total; position += 1) {
    if (hasBit(bitmap, position)) count += 1
  }
  return count
}

/** Text of a set, base64. */
export function formatBitmap (bitmap: Bitmap): string {
  return Buffer.from(bitmap).toString('base64')
}

/** Set from its text; undefined unless it has the length of `total` positions. */
export function parseBitmap (text: string, total: number): Bitmap | undefined {
  const bytes = Buffer.from(text, 'base64')
  return bytes.length === Math.ceil(total / 8) ? Uint8Array.from(bytes) : undefined
}
