/**
 * Text in HTTP header values. Headers are bytes, which Node shows as Latin-1 characters: text goes into them as UTF-8, so
 * that names of any script can be sent.
 */
import { isUtf8 } from 'node:buffer'

const asciiPattern = /^[\x20-\x7e]*$/
// All but control characters other than the tab, and unpaired surrogates.
const sendablePattern = /^[\t\x20-\x7e\x80-\ud7ff\ue000-\u{10ffff}]*$/u
const outerSpacePattern = /^[ \t]|[ \t]$/
const hostPattern = /^[\w.:[\]%-]+$/

/** True if a header can carry the text and its receiver reads the same: no control characters, and no spaces at its ends, which receivers strip. */
export function isHeaderText (text: string): boolean { return sendablePattern.test(text) && !outerSpacePattern.test(text) }

/** True for the name or IP address of a host. */
export function isHostText (text: string): boolean { return hostPattern.test(text) }

/** The header value for a text that `isHeaderText` accepts. */
export function encodeHeaderText (text: string): string { return asciiPattern.test(text) ? text : Buffer.from(text).toString('latin1') }

/** The text of a received header value; the value itself if its bytes aren't UTF-8. */
export function decodeHeaderText (value: string): string {
  if (asciiPattern.test(value)) return value
  const bytes = Buffer.from(value, 'latin1')
  return isUtf8(bytes) ? bytes.toString() : value
}
