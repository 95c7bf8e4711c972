/** Bitmaps of chunk positions: one bit for each chunk, compact enough for an HTTP header. */

/** Immutable set of chunk positions; bit `position & 7` of byte `position >> 3`. */
export type Bitmap = Readonly<Uint8Array>

/** Empty set with room for `total` positions. */
export function emptyBitmap (total: number): Bitmap {
  return new Uint8Array(Math.ceil(total / 8))
}

/** Whether a position is in the set; false for positions beyond its end. */
export function hasBit (bitmap: Bitmap, position: number): boolean {
  return ((bitmap[position >> 3] ?? 0) & (1 << (position & 7))) !== 0
}

/** Copy of the set that also contains a position. */
export function withBit (bitmap: Bitmap, position: number): Bitmap {
  const copy = Uint8Array.from(bitmap)
  copy[position >> 3] = (copy[position >> 3] ?? 0) | (1 << (position & 7))
  return copy
}

/** Union of two sets, with the length of the first one. */
export function unionBitmap (left: Bitmap, right: Bitmap): Bitmap {
  return Uint8Array.from(left, (byte, index) => byte | (right[index] ?? 0))
}

/** Union of any number of sets, with room for `total` positions. */
export function unionOf (total: number, bitmaps: readonly Bitmap[]): Bitmap {
  const union = new Uint8Array(Math.ceil(total / 8))
  for (const bitmap of bitmaps) {
    for (let index = 0; index < union.length; index += 1) union[index] = (union[index] ?? 0) | (bitmap[index] ?? 0)
  }
  return union
}

/** Whether the first set has a position that is not in the second. */
export function hasBitsOutside (bitmap: Bitmap, other: Bitmap): boolean {
  return bitmap.some((byte, index) => (byte & ~(other[index] ?? 0)) !== 0)
}

/** Number of positions below `total` that are in the set. */
export function countBits (bitmap: Bitmap, total: number): number {
  let count = 0
  for (let position = 0; position < total; position += 1) {
    if (hasBit(bitmap, position)) count += 1
  }
  return count
}

/** Base64 encoding of a set, read back by `parseBitmap`. */
export function formatBitmap (bitmap: Bitmap): string {
  return Buffer.from(bitmap).toString('base64')
}

/** Decodes a base64 bitmap of any length. */
export function decodeBitmap (text: string): Bitmap {
  return new Uint8Array(Buffer.from(text, 'base64'))
}

/** Whether a bitmap has the length of one with `total` positions. */
export function fitsPositions (bitmap: Bitmap, total: number): boolean {
  return bitmap.length === Math.ceil(total / 8)
}

/** Decodes a base64 bitmap; undefined unless its length fits `total` positions. */
export function parseBitmap (text: string, total: number): Bitmap | undefined {
  const bitmap = decodeBitmap(text)
  return fitsPositions(bitmap, total) ? bitmap : undefined
}
