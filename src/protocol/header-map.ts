/** Header names in lower case, as Node gives them. */
export type HeaderMap = Readonly<Record<string, string | string[] | undefined>>
